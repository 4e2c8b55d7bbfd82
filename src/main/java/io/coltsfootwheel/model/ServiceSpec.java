package io.coltsfootwheel.model;

/**
 * Service that targets offer to callers.
 *
 * @param name name of the service
 * @param keyed true when each key is owned by one target
 * @param hashSlots number of hash slots of a keyed service, 0 for an unkeyed one
 * @param movePolicy rule for moving hash slots to balance the load
 */
public record ServiceSpec(ServiceName name, boolean keyed, int hashSlots, MovePolicy movePolicy) {
  /** Default number of hash slots of a keyed service. */
  public static final int DEFAULT_HASH_SLOTS = 1024;
}
