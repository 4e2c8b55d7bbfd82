package io.coltsfootwheel.dispatch;

/**
 * Limits of the entry side of one instance.
 *
 * @param maxWaiting most requests that wait for a handover or a new dispatcher at a time
 * @param bridgeMillis longest time that a request waits so
 */
public record EntrySettings(int maxWaiting, long bridgeMillis) {
  /**
   * Returns the defaults: 4,096 waiting requests, 1.5 s each.
   *
   * @return the default settings
   */
  public static EntrySettings defaults() {
    return new EntrySettings(4_096, 1_500);
  }
}
