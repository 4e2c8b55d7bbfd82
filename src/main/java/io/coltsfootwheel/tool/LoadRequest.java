package io.coltsfootwheel.tool;

/**
 * Request of a load run.
 *
 * @param number position in the schedule, from 0
 * @param id unique id of the request
 * @param service name of the service
 * @param key key, empty for an unkeyed service
 * @param identity request identity, empty for an idempotent request
 * @param dueNanos due time, in nanoseconds from the start of the run
 */
record LoadRequest(
    int number, String id, String service, String key, String identity, long dueNanos) {
  boolean isIdempotent() {
    return identity.isEmpty();
  }
}
