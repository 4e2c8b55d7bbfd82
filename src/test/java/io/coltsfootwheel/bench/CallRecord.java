package io.coltsfootwheel.bench;

/**
 * Outcome of one request that a {@link KeepAliveCaller} sent whole.
 *
 * @param id value of its header {@code Load-Request}
 * @param entry daemon that it was sent to
 * @param result what the caller received
 * @param detail status and error code, or the way in which the connection ended
 * @param sentEpochMillis wall-clock time after the last byte was sent
 * @param waitedMillis time from the last byte sent to the result
 */
record CallRecord(
    String id,
    String entry,
    Result result,
    String detail,
    long sentEpochMillis,
    long waitedMillis) {
  /** What a caller received for a request. */
  enum Result {
    /** Response of a target. */
    ANSWERED,
    /** Refusal that states that the request was not run. */
    NOT_RUN,
    /** Error of the router after which the request may have run. */
    UNKNOWN,
    /** The connection ended before a complete response. */
    CUT,
    /** No response within the socket timeout. */
    SILENT
  }
}
