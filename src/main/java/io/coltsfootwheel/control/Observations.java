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

/** Latest report on each target. */
final class Observations {
  /** Weight of a new report; at one report per 100 ms the average covers about 1 s. */
  private static final double SMOOTHING = 0.1;

  private final Map<TargetId, Observation> latest = new HashMap<>();

  void clear() {
    latest.clear();
  }

  void record(Renewal renewal, TargetReport report) {
    Observation before = latest.get(report.target());
    double rate = report.requestsPerSecond();
    boolean continues = before != null && before.report().fence().equals(report.fence());
    double smoothed =
        continues ? before.requestsPerSecond() * (1 - SMOOTHING) + rate * SMOOTHING : rate;
    boolean keepsHottest = continues && report.hottestSlots().isEmpty();
    latest.put(
        report.target(),
        new Observation(
            renewal.instance(),
            renewal.session(),
            renewal.appliedIndex(),
            report,
            smoothed,
            keepsHottest ? before.hottestSlots() : report.hottestSlots()));
  }

  /**
   * Returns the report on a target if it was made under the present grant and by a dispatcher that
   * had applied the last change of the target. An older report may describe an earlier grant,
   * incarnation or status.
   */
  Optional<Observation> current(TargetState target) {
    Observation observation = latest.get(target.spec().id());
    return Optional.ofNullable(observation)
        .filter(o -> o.appliedIndex() >= target.changedIndex())
        .filter(o -> target.entry().grant().filter(o::isUnder).isPresent());
  }

  boolean isHealthy(TargetState target) {
    return current(target)
        .filter(o -> o.report().condition() == TargetCondition.HEALTHY)
        .isPresent();
  }

  void retain(ControlState state) {
    latest.keySet().removeIf(id -> !state.content().targets().contains(id));
  }

  /**
   * Report with its sender.
   *
   * @param instance the dispatcher
   * @param session its session
   * @param appliedIndex log index that it had applied
   * @param report the report
   * @param requestsPerSecond smoothed rate
   * @param hottestSlots last reported ones; only some reports name them
   */
  record Observation(
      InstanceId instance,
      String session,
      long appliedIndex,
      TargetReport report,
      double requestsPerSecond,
      List<SlotLoad> hottestSlots) {
    boolean isUnder(DispatchGrant grant) {
      return grant.fence().equals(report.fence())
          && grant.holder().equals(instance)
          && grant.session().equals(session);
    }
  }
}
