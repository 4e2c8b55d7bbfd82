package io.coltsfootwheel.keyspace;

import java.util.List;

/**
 * Periodic report of a target about itself.
 *
 * @param target the target as it describes itself
 * @param sequence sequence number, which increases with each report of one incarnation
 * @param warmupLeftMillis remaining time for which the target is slow after its start
 * @param heldRanges ranges that the target holds or for which it still executes requests
 * @param releasedRanges ranges that it has released since its last acknowledged report
 */
public record HeartbeatReport(
    TargetRecord target,
    long sequence,
    long warmupLeftMillis,
    List<HeldRange> heldRanges,
    List<ReleasedRange> releasedRanges) {
  /** Copies the lists. */
  public HeartbeatReport {
    heldRanges = List.copyOf(heldRanges);
    releasedRanges = List.copyOf(releasedRanges);
  }

  boolean holdsAnyKeyOf(KeyRange range) {
    return heldRanges.stream().anyMatch(h -> h.range().overlaps(range));
  }
}
