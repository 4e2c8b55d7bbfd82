package io.coltsfootwheel.model;

import java.util.List;

/**
 * What a dispatcher tells the control leader about one target, sent with each lease renewal.
 *
 * @param target the target
 * @param fence fence of the dispatch grant under which the report was made
 * @param condition what the dispatcher observed
 * @param inFlight requests sent and not yet answered
 * @param queued requests waiting for a slot
 * @param requestsPerSecond requests per second over the last report interval
 * @param releasedSlots hash slots in handover for which nothing is in flight and nothing more will
 *     be sent
 * @param hottestSlots load of the hottest hash slots of the target, at most 8; empty in most
 *     reports, since they are counted over a second
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
