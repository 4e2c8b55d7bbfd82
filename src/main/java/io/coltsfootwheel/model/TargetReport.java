package io.coltsfootwheel.model;

import java.util.List;

/**
 * Dispatcher's report on one target, sent to the control leader with each lease renewal.
 *
 * @param target the target
 * @param fence fence of the dispatch grant under which the report was made
 * @param condition condition that the dispatcher observed
 * @param inFlight requests sent and not yet answered
 * @param queued requests waiting for a free execution slot of the target
 * @param requestsPerSecond requests per second over the last report interval
 * @param releasedSlots hash slots in handover for which no request is in flight and no further
 *     request is sent
 * @param hottestSlots load of the hash slots of the target with the highest load, at most 8; empty
 *     in most reports, because loads are counted over one second
 */
public record TargetReport(
    TargetId target,
    Fence fence,
    TargetCondition condition,
    int inFlight,
    int queued,
    double requestsPerSecond,
    List<Integer> releasedSlots,
    List<SlotLoad> hottestSlots) {
  /** Copies the lists. */
  public TargetReport {
    releasedSlots = List.copyOf(releasedSlots);
    hottestSlots = List.copyOf(hottestSlots);
  }
}
