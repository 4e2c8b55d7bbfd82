package io.coltsfootwheel.keyspace;

import java.util.List;

/**
 * Lease granted in the answer to a report; the target must release all ranges that it omits.
 *
 * @param ranges all ranges that the target may hold, with fences and handover tokens
 * @param holdMillis time for which the target may hold them after it sent the report
 */
public record LeaseGrant(List<OwnedRange> ranges, long holdMillis) {
  /** Copies the list. */
  public LeaseGrant {
    ranges = List.copyOf(ranges);
  }
}
