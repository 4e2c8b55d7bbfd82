package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceSpec;

/**
 * Registered instance.
 *
 * @param spec the instance
 * @param registeredIndex log index at which the session of the instance was registered
 */
record InstanceState(InstanceSpec spec, long registeredIndex) {}
