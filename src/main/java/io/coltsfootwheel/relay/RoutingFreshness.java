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
  /** Youngest age of routes at which newer routes may be in force, so that no 404 is certain. */
  private static final long MAX_CERTAIN_AGE_MILLIS = 1_000;

  /** Leaves time to connect and to send within the 2 s in which changes and leaves take effect. */
  private static final long MAX_USABLE_AGE_MILLIS = 1_500;

  /** An entry that hears of the leader less often than this cannot tell its loss from late news. */
  private static final long MAX_PROMPT_AGE_MILLIS = 600;

  /** Age of facts that were never confirmed. */
  static final long NEVER_CONFIRMED_MILLIS = -1;

  private final long startNanos;
  private volatile OptionalLong configurationNanos = OptionalLong.empty();
  private volatile OptionalLong ownershipNanos = OptionalLong.empty();
  private OptionalLong lastAnswerNanos = OptionalLong.empty();
  private OptionalLong leaderNamedNanos = OptionalLong.empty();
  private boolean isConfigurationNewest = true;
  private boolean isOwnershipNewest = true;

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
    lastAnswerNanos = OptionalLong.of(nowNanos);
    if (isConfigurationNewest) {
      configurationNanos = later(configurationNanos, asOfNanos);
    }
    if (isOwnershipNewest) {
      ownershipNanos = later(ownershipNanos, asOfNanos);
    }
  }

  /** Records that another process of the control group has named the leader that it hears. */
  void recordLeaderNamed(long nowNanos) {
    leaderNamedNanos = OptionalLong.of(nowNanos);
  }

  /**
   * Records whether the routes, and the targets and owners, in use are the newest that are known to
   * exist.
   */
  void recordNewest(boolean isConfigurationNewestKnown, boolean isOwnershipNewestKnown) {
    isConfigurationNewest = isConfigurationNewestKnown;
    isOwnershipNewest = isOwnershipNewestKnown;
  }

  /** Returns whether the routes are so fresh that no newer routes can be in force. */
  boolean isConfigurationCurrent(long nowNanos) {
    return isConfirmedWithin(MAX_CERTAIN_AGE_MILLIS, configurationAgeMillis(nowNanos));
  }

  /**
   * Returns whether what the entry knows may contradict confirmed changes: it was confirmed too
   * long before the time until which the leader may have confirmed others.
   */
  boolean isOutdated(long nowNanos) {
    return isOutdated(nowNanos, isConfigurationNewest, configurationNanos)
        || isOutdated(nowNanos, isOwnershipNewest, ownershipNanos);
  }

  private boolean isOutdated(long nowNanos, boolean isNewest, OptionalLong confirmedNanos) {
    if (lastAnswerNanos.isEmpty() && isNewest) {
      return false;
    }
    long age = ageMillis(changeableUntilNanos(nowNanos, isNewest, confirmedNanos), confirmedNanos);
    return !isConfirmedWithin(MAX_USABLE_AGE_MILLIS, age);
  }

  /**
   * Returns until when the leader may have confirmed changes that the entry does not know. After
   * prompt answers silence shows that there is no leader, and so no change, unless another process
   * still names one. Answers that were late before the silence may be on their way.
   */
  private long changeableUntilNanos(long nowNanos, boolean isNewest, OptionalLong confirmedNanos) {
    if (!isNewest) {
      return nowNanos;
    }
    long answerNanos = lastAnswerNanos.getAsLong();
    boolean wasPrompt =
        isConfirmedWithin(MAX_PROMPT_AGE_MILLIS, ageMillis(answerNanos, confirmedNanos));
    return wasPrompt ? later(leaderNamedNanos, answerNanos).getAsLong() : nowNanos;
  }

  /**
   * Returns the earliest time at which a change of targets and owners that the entry learns of now
   * can have been confirmed.
   */
  long earliestChangeNanos(long nowNanos) {
    return ownershipNanos.orElse(nowNanos);
  }

  private static boolean isConfirmedWithin(long limitMillis, long ageMillis) {
    return ageMillis != NEVER_CONFIRMED_MILLIS && ageMillis < limitMillis;
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
