package io.coltsfootwheel.node;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * What the leader of one term has sent to one entry, compared with what the entry says it has.
 *
 * <p>A subscription states what the entry had when it was sent, so it does not cover messages that
 * are under way. Links deliver in order; something is sent again only when the entry has made no
 * progress for a while, or states that it has missed a change.
 */
final class EntryProgress {
  /** Stated instead of a view sequence by an entry without a view of the term. */
  static final long NO_VIEW = -1;

  /** Longer than a whole view takes on a slow, busy link. */
  private static final long RESEND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private boolean readsEncoded;
  private long sentConfigurationVersion = -1;
  private long configurationSentNanos;
  private boolean wholeViewSent;
  private long wholeViewSentNanos;
  private long statedViewSequence = NO_VIEW;
  private long viewProgressNanos;
  private long sentEstimateSequence;
  private long statedEstimateSequence;
  private long estimateProgressNanos;
  private OptionalLong confirmedByQuorumNanos = OptionalLong.empty();
  private OptionalLong confirmedNanos = OptionalLong.empty();

  /** Records whether the entry reads messages that were encoded once for many entries. */
  void recordReadsEncoded(boolean isRead) {
    readsEncoded = isRead;
  }

  /** Returns an update in the form that the entry reads. */
  NodeMessage messageOf(SharedUpdate update) {
    return update.message(readsEncoded);
  }

  /**
   * Records that a quorum confirmed the leadership after a subscription arrived.
   *
   * @param sentNanos time of the entry's clock at which it sent the subscription
   */
  void subscriptionConfirmed(long sentNanos) {
    confirmedByQuorumNanos = OptionalLong.of(sentNanos);
  }

  /** Records that all changes from before the confirmed subscription have been sent. */
  void completeConfirmation() {
    confirmedNanos = confirmedByQuorumNanos;
  }

  /**
   * Returns when the entry sent the last subscription that is confirmed and whose changes have been
   * sent, by the entry's clock.
   */
  OptionalLong confirmedNanos() {
    return confirmedNanos;
  }

  /** Returns whether changes of the view are useful to the entry. */
  boolean hasBeenSentView() {
    return wholeViewSent;
  }

  /** Records that a configuration is being sent. */
  void configurationSent(long nowNanos, long version) {
    sentConfigurationVersion = version;
    configurationSentNanos = nowNanos;
  }

  /** Returns whether the entry needs the configuration and it is not under way. */
  boolean needsConfiguration(long nowNanos, long statedVersion, long currentVersion) {
    boolean isUnderWay =
        sentConfigurationVersion == currentVersion
            && nowNanos - configurationSentNanos < RESEND_NANOS;
    return statedVersion != currentVersion && !isUnderWay;
  }

  /** Records that a whole view is being sent; the estimates of all its targets must follow it. */
  void wholeViewSent(long nowNanos) {
    sentEstimateSequence = 0;
    statedEstimateSequence = 0;
    wholeViewSent = true;
    wholeViewSentNanos = nowNanos;
    viewProgressNanos = nowNanos;
  }

  /**
   * Returns whether the entry needs the whole view: it has none and none is under way, or it has
   * made no progress towards the current one.
   *
   * @param nowNanos monotonic time
   * @param statedSequence sequence of the entry's view, or {@link #NO_VIEW}
   * @param currentSequence sequence of the current view
   */
  boolean needsWholeView(long nowNanos, long statedSequence, long currentSequence) {
    if (statedSequence > statedViewSequence || statedSequence == currentSequence) {
      viewProgressNanos = nowNanos;
    }
    statedViewSequence = statedSequence;
    if (statedSequence == currentSequence) {
      wholeViewSent = true;
      return false;
    }
    boolean isWholeViewUnderWay = wholeViewSent && nowNanos - wholeViewSentNanos < RESEND_NANOS;
    boolean isProgressing =
        statedSequence != NO_VIEW && nowNanos - viewProgressNanos < RESEND_NANOS;
    return !isWholeViewUnderWay && !isProgressing;
  }

  /**
   * Returns the sequence after which load estimates must be sent, and records that all up to the
   * current one are sent.
   *
   * @param nowNanos monotonic time
   * @param statedSequence sequence up to which the entry has received estimates
   * @param currentSequence sequence of the last change of an estimate
   */
  long estimatesSentAfter(long nowNanos, long statedSequence, long currentSequence) {
    boolean hasProgress = statedSequence > statedEstimateSequence;
    boolean isComplete = statedSequence == sentEstimateSequence;
    if (hasProgress || isComplete) {
      estimateProgressNanos = nowNanos;
    }
    boolean isLost =
        statedSequence < statedEstimateSequence || nowNanos - estimateProgressNanos >= RESEND_NANOS;
    long after = isLost ? statedSequence : Math.max(statedSequence, sentEstimateSequence);
    if (isLost) {
      estimateProgressNanos = nowNanos;
    }
    statedEstimateSequence = statedSequence;
    sentEstimateSequence = currentSequence;
    return after;
  }
}
