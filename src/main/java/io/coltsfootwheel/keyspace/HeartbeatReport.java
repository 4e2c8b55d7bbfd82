package io.coltsfootwheel.keyspace;

import java.util.List;

/**
 * Periodic report of a target about itself.
 *
 * @param target the target as it describes itself
 * @param sequence increases with each report of one life
 * @param warmupLeftMillis time for which the target stays slow after its start
 * @param holds ranges that it holds or still works on
 * @param released ranges that it has released since its last acknowledged report
 */
public record HeartbeatReport(
    TargetRecord target,
    long sequence,
    long warmupLeftMillis,
    List<HeldRange> holds,
    List<ReleasedRange> released) {
  /** Copies the lists. */
  public HeartbeatReport {
    holds = List.copyOf(holds);
    released = List.copyOf(released);
  }

  boolean isHolding(KeyRange range) {
    return holds.stream().anyMatch(h -> h.range().overlaps(range));
  }
}
