package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceSpec;

/**
 * Registered instance.
 *
 * @param spec the instance
 * @param registeredIndex log index of the registration of its session
 */
record InstanceState(InstanceSpec spec, long registeredIndex) {}
