package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;

/** Target that records until when it executes requests for each hash slot. */
final class SimulatedTarget {
  final int number;
  final Map<Integer, Long> busyUntilMillis = new HashMap<>();
  int incarnation;
  long unreachableUntilMillis;
  long stoppedUntilMillis;
  boolean drainRequested;

  SimulatedTarget(int number) {
    this.number = number;
  }

  TargetId id() {
    return Fixtures.target(number);
  }

  String incarnationName() {
    return "i" + incarnation;
  }

  boolean isReachable(long nowMillis) {
    return nowMillis >= unreachableUntilMillis && nowMillis >= stoppedUntilMillis;
  }

  boolean isExecuting(int slot, long nowMillis) {
    return busyUntilMillis.getOrDefault(slot, 0L) > nowMillis;
  }

  boolean isIdle(long nowMillis) {
    return busyUntilMillis.values().stream().noneMatch(untilMillis -> untilMillis > nowMillis);
  }
}
