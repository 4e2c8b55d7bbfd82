package io.coltsfootwheel.dispatch;

/**
 * Limits of the entry side of one instance.
 *
 * @param maxWaitingRequests maximum number of requests that wait for a route or a retry at a time
 * @param maxWaitMillis maximum total time that one request waits
 */
public record EntrySettings(int maxWaitingRequests, long maxWaitMillis) {
  /**
   * Returns the defaults: at most 4,096 waiting requests, each for at most 1.5 s.
   *
   * @return the default settings
   */
  public static EntrySettings defaults() {
    return new EntrySettings(4_096, 1_500);
  }
}
