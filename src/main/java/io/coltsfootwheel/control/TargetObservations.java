package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.SlotLoad;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Latest report on each target, with the request rate smoothed over reports. */
final class TargetObservations {
  /** Weight of a new rate in the moving average, which covers about 1 s at a report per 100 ms. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private final Map<TargetId, Observation> latestByTarget = new HashMap<>();

  void clear() {
    latestByTarget.clear();
  }

  void record(Renewal renewal, TargetReport report) {
    Observation previous = latestByTarget.get(report.target());
    double rate = report.requestsPerSecond();
    boolean isSameGrant = previous != null && previous.report().fence().equals(report.fence());
    double smoothedRate =
        isSameGrant
            ? previous.requestsPerSecond() * (1 - SMOOTHING_FACTOR) + rate * SMOOTHING_FACTOR
            : rate;
    boolean keepsHottestSlots = isSameGrant && report.hottestSlots().isEmpty();
    latestByTarget.put(
        report.target(),
        new Observation(
            renewal.instance(),
            renewal.session(),
            renewal.appliedIndex(),
            report,
            smoothedRate,
            keepsHottestSlots ? previous.hottestSlots() : report.hottestSlots()));
  }

  /**
   * Returns the report on a target if it was made under the present grant and by a dispatcher that
   * had applied the last change of the target. An older report may describe an earlier grant,
   * incarnation or status.
   */
  Optional<Observation> current(TargetState target) {
    Observation observation = latestByTarget.get(target.spec().id());
    return Optional.ofNullable(observation)
        .filter(observed -> observed.appliedIndex() >= target.changedIndex())
        .filter(observed -> target.entry().grant().filter(observed::isMadeUnder).isPresent());
  }

  boolean isHealthy(TargetState target) {
    return current(target)
        .filter(observed -> observed.report().condition() == TargetCondition.HEALTHY)
        .isPresent();
  }

  void removeUnknownTargets(ControlState state) {
    latestByTarget.keySet().removeIf(id -> !state.content().targets().contains(id));
  }

  /**
   * Report on a target with its sender.
   *
   * @param instance the dispatcher
   * @param session session of the dispatcher
   * @param appliedIndex log index that the dispatcher had applied when it sent the report
   * @param report the report
   * @param requestsPerSecond smoothed request rate under the present grant
   * @param hottestSlots load of the hottest hash slots as last reported under the present grant,
   *     since most reports do not contain it
   */
  record Observation(
      InstanceId instance,
      String session,
      long appliedIndex,
      TargetReport report,
      double requestsPerSecond,
      List<SlotLoad> hottestSlots) {
    boolean isMadeUnder(DispatchGrant grant) {
      return grant.fence().equals(report.fence())
          && grant.holder().equals(instance)
          && grant.session().equals(session);
    }
  }
}
