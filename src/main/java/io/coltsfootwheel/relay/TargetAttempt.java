package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.ServiceName;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One call of an exchange to a target: what was known when it was sent, whether its response is
 * overdue, and how its end is recorded in the statistics of the target.
 */
final class TargetAttempt {
  /**
   * Multiple of the expected response time at which a response is overdue. The work of a request
   * varies; one in a thousand takes four times the mean or longer.
   */
  private static final int OVERDUE_FACTOR = 4;

  /** Shortest time at which a response is overdue; a key whose state is not loaded is slow. */
  private static final long MIN_OVERDUE_MILLIS = 1_000;

  private final RelayContext context;
  private final TargetStats target;
  private final long incarnationMillis;
  private final long sentNanos;
  private final int inFlightWhenSent;
  private final long expectedMillisWhenSent;
  private final boolean wasSentToFreeSlot;

  /** End of the permit with which the request was or will be written; empty for a warm target. */
  private OptionalLong permitEndNanos = OptionalLong.empty();

  /** Whether the request is no longer counted as in flight because its response is overdue. */
  private boolean isOverdue;

  /** Whether the overdue response was recorded as a sign of a full target. */
  private boolean isOverdueSign;

  /**
   * Records the call as in flight, and takes a permit if the target is cold.
   *
   * @param context statistics and metrics of the relay
   * @param target the target
   * @param nowNanos monotonic time
   */
  TargetAttempt(RelayContext context, TargetStats target, long nowNanos) {
    this.context = context;
    this.target = target;
    this.incarnationMillis = target.spec().incarnationMillis();
    this.sentNanos = nowNanos;
    this.inFlightWhenSent = target.estimatedInFlight();
    this.expectedMillisWhenSent = target.expectedResponseMillis();
    this.wasSentToFreeSlot = target.hasFreeSlot();
    if (target.isCold()) {
      takePermit(nowNanos);
    }
    target.recordSent();
  }

  TargetStats target() {
    return target;
  }

  /** Returns the incarnation of the target to which the request was sent. */
  long incarnationMillis() {
    return incarnationMillis;
  }

  boolean isOverdue() {
    return isOverdue;
  }

  /**
   * Returns the time until the response is overdue, longer if the target became slower meanwhile.
   *
   * @param nowNanos monotonic time
   * @return milliseconds, not positive once it is overdue
   */
  long millisUntilOverdue(long nowNanos) {
    long expectedMillis = Math.max(expectedMillisWhenSent, target.expectedResponseMillis());
    long overdueMillis = Math.max(MIN_OVERDUE_MILLIS, OVERDUE_FACTOR * expectedMillis);
    return overdueMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
  }

  /** Stops counting the request as in flight; its response may still come. */
  void recordOverdue(long nowNanos) {
    isOverdue = true;
    isOverdueSign = target.isNearLimit(nowNanos, inFlightWhenSent);
    if (isOverdueSign) {
      recordLoadFailure(nowNanos, CallFailure.OVERDUE);
    } else {
      target.recordCancellation();
    }
  }

  /**
   * Records a response.
   *
   * @param nowNanos monotonic time
   * @param check classification of the response
   * @param service service of the request
   * @param priority priority of the request
   */
  void recordResponse(long nowNanos, ResponseCheck check, ServiceName service, int priority) {
    countAgain();
    if (check == ResponseCheck.NOT_EXECUTED) {
      context.overload().recordRefusal(nowNanos, target, wasSentToFreeSlot);
    } else if (check.isRefusal()) {
      target.recordRejection();
    } else {
      long responseMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos);
      target.recordResponse(responseMillis);
      if (wasSentToFreeSlot) {
        target.countResponseOfFreeSlot();
        context.priorityReserve().recordTime(service, priority, responseMillis);
      }
    }
  }

  /** Records the end without a usable response. */
  void recordFailure(long nowNanos, CallFailure failure) {
    countAgain();
    if (isOverdueSign || failure == CallFailure.NO_CONNECTION) {
      target.recordCancellation();
    } else {
      recordLoadFailure(nowNanos, failure);
    }
  }

  /** Records the end for a reason other than the target. */
  void recordCancellation() {
    countAgain();
    target.recordCancellation();
  }

  private void recordLoadFailure(long nowNanos, CallFailure failure) {
    context.overload().recordFailure(nowNanos, target, failure, inFlightWhenSent);
  }

  /** Counts an overdue request as in flight again, whose end is about to be recorded. */
  private void countAgain() {
    if (isOverdue) {
      isOverdue = false;
      target.recordSent();
    }
  }

  /**
   * Returns whether the request may be written to its target now. If the target has become cold or
   * the permit has expired while the request waited for a connection, it needs another permit.
   */
  boolean isPermitted(long nowNanos) {
    if (!target.isCold()) {
      return true;
    }
    boolean isValid = permitEndNanos.isPresent() && nowNanos - permitEndNanos.getAsLong() < 0;
    if (!isValid) {
      takePermit(nowNanos);
    }
    return permitEndNanos.isPresent();
  }

  private void takePermit(long nowNanos) {
    permitEndNanos = target.permits().take(nowNanos);
    if (permitEndNanos.isPresent()) {
      context.countUsedPermit();
    }
  }
}
