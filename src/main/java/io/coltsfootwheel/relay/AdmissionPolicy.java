package io.coltsfootwheel.relay;

import java.util.Optional;

/**
 * Decides whether a target can still serve a request in time, and after which delay a refused
 * client should retry.
 *
 * <p>Designed for a target that receives more requests than it can serve, for example when all
 * requests are for one hot key. Queueing them would only make every response late. A request is
 * therefore refused at once if the requests ahead of it would use up its latency objective, and
 * requests of lower priority are refused earlier. The target stays busy with requests that it can
 * answer in time.
 */
final class AdmissionPolicy {
  /**
   * Longest expected response time, as a fraction of the time until the deadline. It applies to
   * routes whose timeout is shorter than their latency objective. Most of the expected time is the
   * wait in the queue, which grows while the load estimates age; with a longer time targets execute
   * requests whose clients have given up.
   */
  private static final double MAX_DEADLINE_RATIO = 0.75;

  /**
   * Fraction of the expected response time that must remain until the deadline of a request in the
   * late queue. It is below 1 because the expected time is an average, so that some requests take
   * less.
   */
  private static final double MIN_REMAINING_TIME_RATIO = 0.6;

  /**
   * Requests beyond the target's slots that are admitted even if they will miss their latency
   * objective.
   */
  private static final int LATE_QUEUE_CAPACITY = 1;

  /**
   * Longest expected response time of a request with priority 0, the highest, as a fraction of its
   * remaining latency objective.
   */
  private static final double HIGHEST_PRIORITY_OBJECTIVE_RATIO = 1.1;

  /**
   * Amount by which {@link #HIGHEST_PRIORITY_OBJECTIVE_RATIO} decreases with each lower priority.
   */
  private static final double OBJECTIVE_RATIO_STEP = 0.1;

  private static final double MIN_OBJECTIVE_RATIO = 0.5;

  /**
   * Retry delay of a refused client, as a fraction of the remaining latency objective, or of the
   * time until the deadline once the objective is missed. After this delay the queue has changed,
   * and enough time is left to serve the request.
   */
  private static final double RETRY_DELAY_RATIO = 0.25;

  private static final long MIN_RETRY_DELAY_MILLIS = 30;
  private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

  private AdmissionPolicy() {}

  /** Admits or refuses a request for which a target was chosen. */
  static RoutingDecision admit(TargetStats target, RequestConstraints constraints) {
    return admit(target, constraints, 1);
  }

  /**
   * Admits or refuses a request for which a target was chosen.
   *
   * @param othersWeight weight of the requests of other entries, from 0 to 1
   */
  static RoutingDecision admit(
      TargetStats target, RequestConstraints constraints, double othersWeight) {
    if (!constraints.dryRun()) {
      target.recordRequest(constraints.nowNanos());
    }
    if (target.estimatedInFlight(othersWeight) >= target.concurrencyLimit(constraints.nowNanos())) {
      return refuse("target queue is full", target, constraints);
    }
    if (target.expectedResponseMillis(othersWeight) <= maxExpectedResponseMillis(constraints)
        || fitsLateQueue(target, constraints, othersWeight)) {
      return constraints.dryRun() || target.tryUseShare(constraints.nowNanos(), othersWeight)
          ? new RoutingDecision.Send(target)
          : refuse("share of the target's limit is used", target, constraints);
    }
    return refuse("not enough time left", target, constraints);
  }

  private static RoutingDecision refuse(
      String reason, TargetStats target, RequestConstraints constraints) {
    return new RoutingDecision.Refuse(reason, retryAfterMillis(constraints), Optional.of(target));
  }

  /** Returns the longest expected response time at which a request is admitted. */
  private static double maxExpectedResponseMillis(RequestConstraints constraints) {
    double objectiveRatio =
        Math.max(
            MIN_OBJECTIVE_RATIO,
            HIGHEST_PRIORITY_OBJECTIVE_RATIO - OBJECTIVE_RATIO_STEP * constraints.priority());
    return Math.min(
        MAX_DEADLINE_RATIO * constraints.remainingMillis(),
        objectiveRatio * constraints.remainingObjectiveMillis());
  }

  private static boolean fitsLateQueue(
      TargetStats target, RequestConstraints constraints, double othersWeight) {
    return target.estimatedInFlight(othersWeight) < target.slots() + LATE_QUEUE_CAPACITY
        && target.expectedResponseMillis(othersWeight) * MIN_REMAINING_TIME_RATIO
            <= constraints.remainingMillis();
  }

  private static long retryAfterMillis(RequestConstraints constraints) {
    long remainingTimeMillis =
        constraints.remainingObjectiveMillis() > 0
            ? constraints.remainingObjectiveMillis()
            : constraints.remainingMillis();
    long delayMillis = (long) (RETRY_DELAY_RATIO * remainingTimeMillis);
    return Math.min(MAX_RETRY_DELAY_MILLIS, Math.max(MIN_RETRY_DELAY_MILLIS, delayMillis));
  }
}
