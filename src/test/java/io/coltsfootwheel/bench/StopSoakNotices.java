package io.coltsfootwheel.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Records what targets say of themselves and which requests reach them, and judges entries by it.
 */
final class StopSoakNotices {
  /** Drain time of the platform. */
  private static final long DRAIN_MILLIS = 2_000;

  /** Time after a refusal within which requests under way may still arrive. */
  private static final long REFUSAL_SETTLED_MILLIS = 500;

  private static final int MAX_ARRIVALS_IN_PAUSE = 2;

  /**
   * One process of a target.
   *
   * @param target ID of the target
   * @param boot number of the process
   */
  record Boot(String target, int boot) {}

  private record Arrival(Boot boot, String requestId, long nanos) {}

  private record Refusal(Boot boot, String requestId, long nanos, long pauseMillis) {}

  private record Leaving(Boot boot, String requestId) {}

  /** Tells whether the process of an entry was started between two times. */
  interface RestartCheck {
    boolean wasStarted(InetSocketAddress entry, long fromNanos, long toNanos);
  }

  private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final Queue<Refusal> refusals = new ConcurrentLinkedQueue<>();
  private final Queue<Leaving> leavings = new ConcurrentLinkedQueue<>();

  void arrived(Boot boot, String requestId) {
    arrivals.add(new Arrival(boot, requestId, System.nanoTime()));
  }

  void refused(Boot boot, String requestId, long pauseMillis) {
    refusals.add(new Refusal(boot, requestId, System.nanoTime(), pauseMillis));
  }

  void answeredLeaving(Boot boot, String requestId) {
    leavings.add(new Leaving(boot, requestId));
  }

  int refusalCount() {
    return refusals.size();
  }

  int leavingCount() {
    return leavings.size();
  }

  /** Returns one line for each violation. */
  List<String> violations(Map<String, StopSoakClient.Outcome> outcomeById, RestartCheck restarts) {
    List<String> violations = new ArrayList<>();
    refusals.forEach(r -> pauseViolation(r, outcomeById, restarts).ifPresent(violations::add));
    leavings.forEach(l -> leavingViolation(l, outcomeById, restarts).ifPresent(violations::add));
    return violations;
  }

  private Optional<String> pauseViolation(
      Refusal refusal, Map<String, StopSoakClient.Outcome> outcomeById, RestartCheck restarts) {
    StopSoakClient.Outcome refused = outcomeById.get(refusal.requestId());
    if (refused == null) {
      return Optional.empty();
    }
    long fromNanos = refusal.nanos() + TimeUnit.MILLISECONDS.toNanos(REFUSAL_SETTLED_MILLIS);
    long toNanos = refusal.nanos() + TimeUnit.MILLISECONDS.toNanos(refusal.pauseMillis());
    long count =
        arrivalsFrom(refused.entry(), refusal.boot(), outcomeById)
            .filter(a -> a.nanos() - fromNanos > 0 && toNanos - a.nanos() > 0)
            .filter(a -> !restarts.wasStarted(refused.entry(), refusal.nanos(), a.nanos()))
            .count();
    return count > MAX_ARRIVALS_IN_PAUSE
        ? Optional.of(count + " requests reached a target during its pause: " + refusal)
        : Optional.empty();
  }

  private Optional<String> leavingViolation(
      Leaving leaving, Map<String, StopSoakClient.Outcome> outcomeById, RestartCheck restarts) {
    StopSoakClient.Outcome passedOn = outcomeById.get(leaving.requestId());
    if (passedOn == null || passedOn.status() != 200) {
      return Optional.empty();
    }
    long endNanos = passedOn.endedNanos() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
    return arrivalsFrom(passedOn.entry(), leaving.boot(), outcomeById)
        .filter(a -> outcomeById.get(a.requestId()).sentNanos() - endNanos > 0)
        .filter(a -> !restarts.wasStarted(passedOn.entry(), passedOn.endedNanos(), a.nanos()))
        .findFirst()
        .map(a -> "a request reached a target that had left: " + a + " after " + leaving);
  }

  private Stream<Arrival> arrivalsFrom(
      InetSocketAddress entry, Boot boot, Map<String, StopSoakClient.Outcome> outcomeById) {
    return arrivals.stream()
        .filter(a -> a.boot().equals(boot))
        .filter(a -> outcomeById.containsKey(a.requestId()))
        .filter(a -> outcomeById.get(a.requestId()).entry().equals(entry));
  }
}
