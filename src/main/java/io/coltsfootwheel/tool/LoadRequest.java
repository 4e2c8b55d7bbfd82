package io.coltsfootwheel.tool;

/**
 * Request that the load driver is about to send.
 *
 * @param number position in the schedule
 * @param id identifies the request
 * @param service the service
 * @param key key, empty for an unkeyed service
 * @param identity request identity, empty for an idempotent request
 * @param dueNanos due time from the start of the run
 */
record LoadRequest(
    int number, String id, String service, String key, String identity, long dueNanos) {
  boolean isIdempotent() {
    return identity.isEmpty();
  }
}
