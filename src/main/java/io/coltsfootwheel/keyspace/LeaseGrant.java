package io.coltsfootwheel.keyspace;

import java.util.List;

/**
 * Answer to a report: everything that the target is to hold.
 *
 * @param ranges the ranges with fences and handover tokens
 * @param holdMillis time for which they are held, from the sending of the report
 */
public record LeaseGrant(List<OwnedRange> ranges, long holdMillis) {
  /** Copies the list. */
  public LeaseGrant {
    ranges = List.copyOf(ranges);
  }
}
