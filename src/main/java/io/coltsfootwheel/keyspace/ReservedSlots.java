package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;

/**
 * Slots of a service that are reserved against the requests of one priority and less urgent ones.
 *
 * @param service the service
 * @param priority the priority; 0 is the highest
 * @param slots reserved slots
 */
public record ReservedSlots(ServiceName service, int priority, int slots) {}
