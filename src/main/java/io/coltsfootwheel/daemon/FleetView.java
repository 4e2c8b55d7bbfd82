package io.coltsfootwheel.daemon;

import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Builds the responses of the operator interface from the control state of this instance and the
 * report of the leader, which is empty when no leader answered.
 */
final class FleetView {
  private final String clusterName;
  private final InstanceId self;
  private final Set<InstanceId> members;
  private final ControlState state;
  private final Optional<LeaderReport> report;

  FleetView(
      String clusterName,
      InstanceId self,
      Set<InstanceId> members,
      ControlState state,
      Optional<LeaderReport> report) {
    this.clusterName = clusterName;
    this.self = self;
    this.members = Set.copyOf(members);
    this.state = state;
    this.report = report;
  }

  OperatorApi.Status status() {
    return new OperatorApi.Status(
        clusterName,
        self.value(),
        report.map(r -> r.leader().value()).orElse(""),
        report.map(LeaderReport::term).orElse(0L),
        report.map(LeaderReport::commitIndex).orElse(state.appliedIndex()),
        state.instances().stream().map(this::instanceStatus).toList(),
        state.services().stream().map(this::serviceStatus).toList(),
        targets(),
        alarms());
  }

  List<OperatorApi.TargetState> targets() {
    Map<TargetId, TargetReport> reports = reports();
    Map<TargetId, Integer> slotsByTarget = ownedSlots();
    return targetEntries().stream()
        .map(
            entry ->
                target(
                    entry,
                    Optional.ofNullable(reports.get(entry.spec().id())),
                    slotsByTarget.getOrDefault(entry.spec().id(), 0)))
        .toList();
  }

  OperatorApi.ListsApplied listsApplied(long revision) {
    Map<InstanceId, Renewal> renewals = renewals();
    List<OperatorApi.InstanceRevision> applied = new ArrayList<>();
    List<String> behind = new ArrayList<>();
    for (InstanceSpec instance : state.instances()) {
      long index =
          Optional.ofNullable(renewals.get(instance.id())).map(Renewal::appliedIndex).orElse(0L);
      applied.add(new OperatorApi.InstanceRevision(instance.id().value(), index));
      if (index < revision) {
        behind.add(instance.id().value());
      }
    }
    return new OperatorApi.ListsApplied(revision, applied, behind);
  }

  private OperatorApi.InstanceStatus instanceStatus(InstanceSpec instance) {
    Optional<Renewal> renewal = Optional.ofNullable(renewals().get(instance.id()));
    return new OperatorApi.InstanceStatus(
        instance.id().value(),
        instance.zone().value(),
        members.contains(instance.id()),
        renewal.isPresent(),
        renewal.map(Renewal::appliedIndex).orElse(0L));
  }

  private OperatorApi.ServiceStatus serviceStatus(ServiceSpec service) {
    int unowned = 0;
    for (int slot = 0; slot < service.hashSlots(); slot++) {
      if (state.ownership(service.name(), slot).isEmpty()) {
        unowned++;
      }
    }
    return new OperatorApi.ServiceStatus(
        service.name().value(), service.keyed(), service.hashSlots(), unowned, imbalance(service));
  }

  private double imbalance(ServiceSpec service) {
    Map<TargetId, TargetReport> reports = reports();
    double[] rates =
        state.targetsOf(service.name()).stream()
            .filter(t -> t.status() == TargetStatus.ACTIVE)
            .map(t -> Optional.ofNullable(reports.get(t.spec().id())))
            .mapToDouble(r -> r.map(TargetReport::requestsPerSecond).orElse(0.0))
            .toArray();
    double sum = java.util.Arrays.stream(rates).sum();
    double max = java.util.Arrays.stream(rates).max().orElse(0);
    return sum > 0 ? max * rates.length / sum : 1;
  }

  private static OperatorApi.TargetState target(
      TargetEntry entry, Optional<TargetReport> report, int ownedSlots) {
    Optional<DispatchGrant> grant = entry.grant();
    return new OperatorApi.TargetState(
        entry.spec().id().value(),
        entry.spec().service().value(),
        entry.spec().address().toString(),
        entry.spec().zone().value(),
        entry.status().name(),
        grant.map(g -> g.holder().value()).orElse(""),
        grant.map(g -> g.fence().value()).orElse(0L),
        ownedSlots,
        report.map(TargetReport::inFlight).orElse(0),
        report.map(TargetReport::queued).orElse(0));
  }

  private List<String> alarms() {
    List<String> alarms = new ArrayList<>();
    if (report.isEmpty()) {
      alarms.add("no-leader: no control leader answers; see docs/OPERATIONS.md#no-leader");
    }
    Map<TargetId, TargetReport> reports = reports();
    for (TargetEntry entry : targetEntries()) {
      Optional.ofNullable(reports.get(entry.spec().id()))
          .filter(r -> r.condition() == TargetCondition.SUSPECT)
          .ifPresent(r -> alarms.add(suspectAlarm(entry)));
    }
    state.services().stream()
        .map(this::serviceStatus)
        .filter(s -> s.unownedHashSlots() > 0)
        .forEach(
            s ->
                alarms.add(
                    "unowned-slots: "
                        + s.unownedHashSlots()
                        + " hash slots of "
                        + s.name()
                        + " have no owner; see docs/OPERATIONS.md#unowned-slots"));
    return alarms;
  }

  private static String suspectAlarm(TargetEntry entry) {
    String id = entry.spec().id().value();
    return entry.spec().checksFences()
        ? "target-suspect: " + id + " does not answer; its hash slots move when its grant ends"
        : "target-suspect: "
            + id
            + " does not answer and does not check fences; if its process"
            + " has ended run 'coltsfootwheel target gone "
            + id
            + "'";
  }

  private List<TargetEntry> targetEntries() {
    return state.services().stream()
        .flatMap(service -> state.targetsOf(service.name()).stream())
        .toList();
  }

  private Map<TargetId, Integer> ownedSlots() {
    Map<TargetId, Integer> slotsByTarget = new HashMap<>();
    for (ServiceSpec service : state.services()) {
      for (int slot = 0; slot < service.hashSlots(); slot++) {
        state
            .ownership(service.name(), slot)
            .map(SlotOwnership::owner)
            .ifPresent(owner -> slotsByTarget.merge(owner, 1, Integer::sum));
      }
    }
    return slotsByTarget;
  }

  private Map<InstanceId, Renewal> renewals() {
    return report.map(LeaderReport::renewals).orElse(List.of()).stream()
        .collect(Collectors.toMap(Renewal::instance, Function.identity()));
  }

  private Map<TargetId, TargetReport> reports() {
    return report.map(LeaderReport::renewals).orElse(List.of()).stream()
        .flatMap(renewal -> renewal.reports().stream())
        .collect(
            Collectors.toMap(
                TargetReport::target, Function.identity(), (a, b) -> withNewerFence(a, b)));
  }

  private static TargetReport withNewerFence(TargetReport a, TargetReport b) {
    return a.fence().isOlderThan(b.fence()) ? b : a;
  }
}
