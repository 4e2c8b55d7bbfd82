package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.TargetId;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses among cold targets, to which requests are sent only with a permit of the leader.
 *
 * <p>Designed for a target that starts while requests for its keys arrive, and for an unkeyed
 * service that gets a new target: the first must not receive more than it sustains, and the second
 * must receive some requests at once.
 */
final class ColdTargetPolicy {
  /** Ratio of the time per request of a cold target to that of a warm one, on which it is based. */
  private static final double COLD_SLOWDOWN = 2;

  private ColdTargetPolicy() {}

  /**
   * Returns a cold target that an unkeyed request is sent to although warm ones exist: one with a
   * permit and a free slot, on which the response is expected within the objective. A permit that
   * is about to expire may be used for a request that only meets its deadline, so that a target is
   * warmed up even when it is too slow for the objective of each request.
   */
  static Optional<TargetStats> targetToWarmUp(
      List<TargetStats> coldTargets, Set<TargetId> triedTargets, RequestConstraints constraints) {
    return coldTargets.stream()
        .filter(t -> !triedTargets.contains(t.spec().id()))
        .filter(t -> t.permits().available(constraints.nowNanos()) > 0)
        .filter(t -> t.estimatedInFlight() < t.slots())
        .filter(t -> isInTime(t, constraints))
        .min(Comparator.comparingInt(TargetStats::inFlight));
  }

  private static boolean isInTime(TargetStats target, RequestConstraints constraints) {
    double responseMillis = COLD_SLOWDOWN * target.expectedResponseMillis();
    long limitMillis =
        target.permits().isExpiring(constraints.nowNanos())
            ? constraints.remainingMillis()
            : Math.min(constraints.remainingObjectiveMillis(), constraints.remainingMillis());
    return responseMillis <= limitMillis;
  }

  /**
   * Returns the cold target for an unkeyed request when all usable targets are cold: one with a
   * permit, otherwise the one that the fewest requests wait for.
   */
  static TargetStats leastAwaited(List<TargetStats> coldTargets, RequestConstraints constraints) {
    return coldTargets.stream()
        .min(
            Comparator.comparing(
                    (TargetStats t) -> t.permits().available(constraints.nowNanos()) == 0)
                .thenComparingInt(t -> t.permits().waitingRequests())
                .thenComparingInt(TargetStats::inFlight))
        .orElseThrow();
  }
}
