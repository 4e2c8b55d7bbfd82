package io.coltsfootwheel.loadcontrol;

/**
 * Refusals of a target, divided by whether it had a free slot when the request was sent.
 *
 * @param busyRefusals refusals of requests that were sent while no slot was free
 * @param freeRefusals refusals of requests that were sent to a free slot
 * @param freeResponses responses to requests that were sent to a free slot, not counting refusals
 */
public record RefusalCounts(int busyRefusals, int freeRefusals, int freeResponses) {
  /** Counts when nothing was observed. */
  public static final RefusalCounts NONE = new RefusalCounts(0, 0, 0);

  /**
   * Returns the counts without negative ones, which only an instance of another version can send.
   *
   * @return valid counts
   */
  public RefusalCounts valid() {
    return new RefusalCounts(
        Math.max(0, busyRefusals), Math.max(0, freeRefusals), Math.max(0, freeResponses));
  }
}
