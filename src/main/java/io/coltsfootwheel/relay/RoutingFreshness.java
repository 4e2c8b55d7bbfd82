package io.coltsfootwheel.relay;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * How old the routes, and the targets and owners, of an entry may be.
 *
 * <p>The age of a fact is the time since the entry asked a question whose confirmed answer says
 * that the fact is the newest. The arrival of a message says nothing: the message may have waited
 * on its way. Metrics read the ages on other threads.
 */
final class RoutingFreshness {
  /** Age of facts that were never confirmed. */
  static final long NEVER_CONFIRMED_MILLIS = -1;

  private final long startNanos;
  private volatile OptionalLong configurationNanos = OptionalLong.empty();
  private volatile OptionalLong ownershipNanos = OptionalLong.empty();

  RoutingFreshness(long startNanos) {
    this.startNanos = startNanos;
  }

  /**
   * Records an answer. A time that no question of this process can have is ignored: the answer
   * belongs to an earlier process at the same address.
   *
   * @param nowNanos time at which the answer arrived
   * @param asOfNanos time at which the entry asked
   * @param isConfigurationNewest whether the routes in use were the newest then
   * @param isOwnershipNewest whether the targets and owners in use were the newest then
   */
  void confirm(
      long nowNanos, long asOfNanos, boolean isConfigurationNewest, boolean isOwnershipNewest) {
    if (asOfNanos - startNanos < 0 || nowNanos - asOfNanos < 0) {
      return;
    }
    if (isConfigurationNewest) {
      configurationNanos = later(configurationNanos, asOfNanos);
    }
    if (isOwnershipNewest) {
      ownershipNanos = later(ownershipNanos, asOfNanos);
    }
  }

  /** Returns the age of the routes, or {@link #NEVER_CONFIRMED_MILLIS}. */
  long configurationAgeMillis(long nowNanos) {
    return ageMillis(nowNanos, configurationNanos);
  }

  /** Returns the age of the targets and owners, or {@link #NEVER_CONFIRMED_MILLIS}. */
  long ownershipAgeMillis(long nowNanos) {
    return ageMillis(nowNanos, ownershipNanos);
  }

  private static OptionalLong later(OptionalLong known, long nanos) {
    return known.isPresent() && known.getAsLong() - nanos > 0 ? known : OptionalLong.of(nanos);
  }

  private static long ageMillis(long nowNanos, OptionalLong sinceNanos) {
    return sinceNanos.isPresent()
        ? TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos.getAsLong())
        : NEVER_CONFIRMED_MILLIS;
  }
}
