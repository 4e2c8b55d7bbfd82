package io.coltsfootwheel.model;

/**
 * Service that targets offer to callers.
 *
 * @param name name of the service
 * @param keyed true when each key has one owning target
 * @param hashSlots number of hash slots of a keyed service, 0 for an unkeyed one
 * @param movePolicy how eagerly hash slots move for balance
 */
public record ServiceSpec(ServiceName name, boolean keyed, int hashSlots, MovePolicy movePolicy) {
  /** Hash slots of a keyed service when the settings name no other number. */
  public static final int DEFAULT_HASH_SLOTS = 1024;
}
