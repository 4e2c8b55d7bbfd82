package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.RefusalCounts;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Load that one entry observed since its last report.
 *
 * @param requestsByKey requests per service and key
 * @param targets observations of targets
 * @param demand requests by service and priority; empty from an entry of an earlier version
 * @param permitRequests permits that the entry asks for, by cold target; empty when the entry is of
 *     an earlier version
 */
public record LoadReport(
    Map<ServiceName, Map<Integer, Integer>> requestsByKey,
    List<TargetObservation> targets,
    List<KindDemand> demand,
    Map<TargetId, Integer> permitRequests) {
  /** Copies the collections, and replaces missing ones. */
  public LoadReport {
    requestsByKey = Map.copyOf(requestsByKey);
    targets = List.copyOf(targets);
    demand = demand == null ? List.of() : List.copyOf(demand);
    permitRequests = permitRequests == null ? Map.of() : Map.copyOf(permitRequests);
  }

  /**
   * Creates a report without demand by priority and without requests for permits.
   *
   * @param requestsByKey requests per service and key
   * @param targets observations of targets
   */
  public LoadReport(
      Map<ServiceName, Map<Integer, Integer>> requestsByKey, List<TargetObservation> targets) {
    this(requestsByKey, targets, List.of(), Map.of());
  }

  /**
   * Returns the report without counts that are not positive or belong to no key, and without
   * negative demand. An instance of another version may send them.
   *
   * @return this report if all its counts are valid, otherwise a report with the valid ones
   */
  public LoadReport withValidCounts() {
    boolean isValid =
        requestsByKey.values().stream()
            .flatMap(counts -> counts.entrySet().stream())
            .allMatch(LoadReport::isValid);
    if (isValid && demand.stream().allMatch(KindDemand::isValid)) {
      return this;
    }
    Map<ServiceName, Map<Integer, Integer>> valid = new HashMap<>();
    requestsByKey.forEach((service, counts) -> valid.put(service, validCounts(counts)));
    return new LoadReport(
        valid, targets, demand.stream().filter(KindDemand::isValid).toList(), permitRequests);
  }

  private static Map<Integer, Integer> validCounts(Map<Integer, Integer> counts) {
    return counts.entrySet().stream()
        .filter(LoadReport::isValid)
        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static boolean isValid(Map.Entry<Integer, Integer> count) {
    return KeyRange.ALL.contains(count.getKey()) && count.getValue() > 0;
  }

  /**
   * Observation of one target.
   *
   * @param target the target
   * @param inFlight requests sent and not yet answered
   * @param completed requests answered since the last report, not counting rejected ones
   * @param responseMillis sum of the response times of the completed requests
   * @param overloadSignals resets and missing responses since the last report while the target was
   *     near its limit; from an entry of an earlier version also refusals
   * @param reportedLoad requests running and waiting by the target's own last word since the last
   *     report, 0 if it said nothing
   * @param refusals refusals since the last report; none from an entry of an earlier version
   */
  public record TargetObservation(
      TargetId target,
      int inFlight,
      int completed,
      long responseMillis,
      int overloadSignals,
      int reportedLoad,
      RefusalCounts refusals) {
    /** Replaces missing counts. */
    public TargetObservation {
      refusals = refusals == null ? RefusalCounts.NONE : refusals;
    }

    /**
     * Creates an observation as entries of an earlier version send it.
     *
     * @param target the target
     * @param inFlight requests in flight
     * @param completed requests answered
     */
    public TargetObservation(TargetId target, int inFlight, int completed) {
      this(target, inFlight, completed, 0, 0, 0, RefusalCounts.NONE);
    }
  }

  /**
   * Requests of one service and priority.
   *
   * @param service the service
   * @param priority the priority; 0 is the highest
   * @param requests requests that arrived, also refused ones
   * @param timedRequests responses of targets that had a free slot when the request was sent
   * @param timedMillis sum of their times
   */
  public record KindDemand(
      ServiceName service, int priority, int requests, int timedRequests, long timedMillis) {
    private boolean isValid() {
      return service != null
          && priority >= 0
          && requests >= 0
          && timedRequests >= 0
          && timedMillis >= 0;
    }
  }
}
