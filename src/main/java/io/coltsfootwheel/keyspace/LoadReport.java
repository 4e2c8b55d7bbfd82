package io.coltsfootwheel.keyspace;

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
 * @param permitRequests permits that the entry asks for, by cold target; empty when the entry is of
 *     an earlier version
 */
public record LoadReport(
    Map<ServiceName, Map<Integer, Integer>> requestsByKey,
    List<TargetObservation> targets,
    Map<TargetId, Integer> permitRequests) {
  /** Copies the collections. */
  public LoadReport {
    requestsByKey = Map.copyOf(requestsByKey);
    targets = List.copyOf(targets);
    permitRequests = permitRequests == null ? Map.of() : Map.copyOf(permitRequests);
  }

  /**
   * Creates a report that asks for no permits.
   *
   * @param requestsByKey requests per service and key
   * @param targets observations of targets
   */
  public LoadReport(
      Map<ServiceName, Map<Integer, Integer>> requestsByKey, List<TargetObservation> targets) {
    this(requestsByKey, targets, Map.of());
  }

  /**
   * Returns the report without counts that are not positive or belong to no key. An instance of
   * another version may send them.
   *
   * @return this report if all its counts are valid, otherwise a report with the valid ones
   */
  public LoadReport withValidCounts() {
    boolean isValid =
        requestsByKey.values().stream()
            .flatMap(counts -> counts.entrySet().stream())
            .allMatch(LoadReport::isValid);
    if (isValid) {
      return this;
    }
    Map<ServiceName, Map<Integer, Integer>> valid = new HashMap<>();
    requestsByKey.forEach((service, counts) -> valid.put(service, validCounts(counts)));
    return new LoadReport(valid, targets, permitRequests);
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
   */
  public record TargetObservation(TargetId target, int inFlight, int completed) {}
}
