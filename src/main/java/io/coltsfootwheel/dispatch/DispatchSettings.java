package io.coltsfootwheel.dispatch;

/**
 * Limits of the dispatchers of one instance.
 *
 * @param queuePerSlot queued requests per slot of a target
 * @param identityRecords most identity records per target
 * @param identityRetentionMillis time for which an ended request's identity is remembered
 */
public record DispatchSettings(
    int queuePerSlot, int identityRecords, long identityRetentionMillis) {
  /**
   * Returns the defaults: 8 queued requests per slot, 100,000 identities for 10 minutes.
   *
   * @return the default settings
   */
  public static DispatchSettings defaults() {
    return new DispatchSettings(8, 100_000, 600_000);
  }
}
