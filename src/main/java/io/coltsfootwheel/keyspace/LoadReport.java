package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.List;
import java.util.Map;

/**
 * Load that one entry observed since its last report.
 *
 * @param requestsByKey requests per service and key
 * @param targets observations of targets
 */
public record LoadReport(
    Map<ServiceName, Map<Integer, Integer>> requestsByKey, List<TargetObservation> targets) {
  /** Copies the collections. */
  public LoadReport {
    requestsByKey = Map.copyOf(requestsByKey);
    targets = List.copyOf(targets);
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
