package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Keys that one incarnation of a simulated target holds by grants in calls. */
final class CalledTargetHoldings {
  private static final double SLOWEST_CLOCK_RATE = 0.98;

  private final TargetId owner;
  private final Map<KeyRange, Long> untilMillis = new HashMap<>();
  private final List<OwnedRange> seen = new ArrayList<>();

  CalledTargetHoldings(TargetId owner) {
    this.owner = owner;
  }

  /** Applies a grant that arrived at a time, perhaps later, and returns false for a low fence. */
  boolean grant(TargetCall.Grant call, long arrivalMillis) {
    boolean tooLow =
        seen.stream()
            .filter(s -> s.range().overlaps(call.range()))
            .anyMatch(s -> s.fence().value() > call.fence().value());
    if (tooLow) {
      return false;
    }
    subtract(call.range());
    seen.removeIf(s -> s.range().equals(call.range()));
    seen.add(new OwnedRange(call.range(), owner, call.fence(), ""));
    untilMillis.put(call.range(), arrivalMillis + (long) (call.holdMillis() / SLOWEST_CLOCK_RATE));
    return true;
  }

  void release(KeyRange range) {
    subtract(range);
  }

  List<KeyRange> held(long nowMillis) {
    return untilMillis.entrySet().stream()
        .filter(e -> nowMillis < e.getValue())
        .map(Map.Entry::getKey)
        .toList();
  }

  private void subtract(KeyRange range) {
    for (KeyRange held : List.copyOf(untilMillis.keySet())) {
      if (held.overlaps(range)) {
        long until = untilMillis.remove(held);
        RangeTable.of(List.of(new OwnedRange(held, owner, Fence.of(1), "")))
            .withoutRange(range)
            .ranges()
            .forEach(rest -> untilMillis.put(rest.range(), until));
      }
    }
  }
}
