package io.coltsfootwheel.dispatch;

/**
 * Limits of the dispatchers of one instance.
 *
 * @param maxQueuedPerSlot maximum number of queued requests per slot of a target
 * @param maxIdentityRecords maximum number of identity records per target
 * @param identityRetentionMillis time for which the identity record of an ended request is kept
 */
public record DispatchSettings(
    int maxQueuedPerSlot, int maxIdentityRecords, long identityRetentionMillis) {
  /**
   * Returns the defaults: 8 queued requests per slot, and 100,000 identity records that are kept
   * for 10 minutes.
   *
   * @return the default settings
   */
  public static DispatchSettings defaults() {
    return new DispatchSettings(8, 100_000, 600_000);
  }
}
