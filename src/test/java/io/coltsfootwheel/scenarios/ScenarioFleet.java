package io.coltsfootwheel.scenarios;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.control.SupervisorEffect;
import io.coltsfootwheel.control.SupervisorEvent;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Control state and supervisor with instances that renew and report as dispatchers do. */
final class ScenarioFleet {
  static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final int HASH_SLOTS = 12;
  private static final int STEP_MILLIS = 50;
  private static final int SUSPECT_MILLIS = 250;
  private static final int RELEASE_MILLIS = 424;

  private final Supervisor supervisor = new Supervisor();
  private final Map<TargetId, Long> frozenAtMillis = new HashMap<>();
  private final Set<InstanceId> lost = new HashSet<>();
  private final Deque<SupervisorEffect> effects = new ArrayDeque<>();
  private ControlState state = ControlState.empty();
  private long nowMillis = 1_000;

  ScenarioFleet(int instances, int targets, boolean checksFences) {
    Address address = Address.parse("127.0.0.1:1");
    AvailabilityZone zone = AvailabilityZone.of("zone");
    commit(new Command.RegisterService(service(LEDGER, true)));
    commit(new Command.RegisterService(service(ServiceName.of("books"), false)));
    IntStream.rangeClosed(1, instances)
        .mapToObj(n -> new InstanceSpec(instance(n), zone, address, address, "s"))
        .forEach(spec -> commit(new Command.RegisterInstance(spec)));
    IntStream.rangeClosed(1, targets)
        .mapToObj(
            n ->
                new TargetSpec(
                    target(n), LEDGER, address, zone, 2, 120, checksFences, false, "incarnation"))
        .forEach(spec -> commit(new Command.AnnounceTarget(spec)));
    take(new SupervisorEvent.LeadershipGained(nanos(), state));
    pass(2_000);
  }

  private static ServiceSpec service(ServiceName name, boolean keyed) {
    return new ServiceSpec(name, keyed, keyed ? HASH_SLOTS : 0, MovePolicy.AVAILABILITY);
  }

  static InstanceId instance(int n) {
    return InstanceId.of("instance-" + n);
  }

  static TargetId target(int n) {
    return TargetId.of("target-" + n);
  }

  ControlState state() {
    return state;
  }

  long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  List<TargetEntry> targets() {
    return List.copyOf(state.targetsOf(LEDGER));
  }

  /** Returns the owner of each hash slot that has one. */
  List<TargetId> owners() {
    return IntStream.range(0, HASH_SLOTS)
        .mapToObj(slot -> state.ownership(LEDGER, slot))
        .flatMap(o -> o.stream().map(ownership -> ownership.owner()))
        .toList();
  }

  boolean ownsAll() {
    return owners().size() == HASH_SLOTS;
  }

  void freeze(TargetId target) {
    frozenAtMillis.put(target, nowMillis);
  }

  void lose(InstanceId instance) {
    lost.add(instance);
  }

  void pass(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      take(new SupervisorEvent.Tick(nanos()));
      List<InstanceSpec> present = List.copyOf(state.instances());
      present.stream()
          .filter(i -> !lost.contains(i.id()))
          .forEach(i -> take(new SupervisorEvent.RenewalReceived(nanos(), renewal(i))));
    }
  }

  CommandResult commit(Command command) {
    ControlState.Applied applied = state.apply(state.appliedIndex() + 1, command);
    state = applied.state();
    return applied.result();
  }

  void setStatus(TargetId target, TargetStatus status) {
    commit(
        new Command.ChangeTargetStatus(
            target, status, "incarnation", state.targetChangedIndex(target), "by an operator"));
    take(new SupervisorEvent.StateApplied(nanos(), state));
  }

  private void take(SupervisorEvent event) {
    effects.addAll(supervisor.apply(event));
    while (!effects.isEmpty()) {
      if (effects.removeFirst() instanceof SupervisorEffect.ProposeCommand proposal) {
        commit(proposal.command());
        effects.addAll(supervisor.apply(new SupervisorEvent.StateApplied(nanos(), state)));
      }
    }
  }

  private Renewal renewal(InstanceSpec instance) {
    List<TargetReport> reports = new ArrayList<>();
    for (TargetEntry target : targets()) {
      target
          .grant()
          .filter(g -> g.holder().equals(instance.id()))
          .ifPresent(grant -> reports.add(report(target, grant)));
    }
    return new Renewal(
        instance.id(), instance.session(), nanos(), state.appliedIndex(), false, reports);
  }

  private TargetReport report(TargetEntry target, DispatchGrant grant) {
    TargetId id = target.spec().id();
    TargetCondition condition = condition(target);
    boolean answers = condition == TargetCondition.HEALTHY;
    List<Integer> released =
        IntStream.range(0, HASH_SLOTS)
            .filter(
                slot ->
                    answers
                        && state
                            .ownership(LEDGER, slot)
                            .filter(o -> o.owner().equals(id) && o.handoverTo().isPresent())
                            .isPresent())
            .boxed()
            .toList();
    return new TargetReport(
        id, grant.fence(), condition, answers ? 0 : 1, 0, 0, released, List.of());
  }

  /** A request in flight at a target that does not check fences is never known to have ended. */
  private TargetCondition condition(TargetEntry target) {
    long silentMillis = nowMillis - frozenAtMillis.getOrDefault(target.spec().id(), nowMillis);
    if (silentMillis < SUSPECT_MILLIS) {
      return TargetCondition.HEALTHY;
    }
    return target.spec().checksFences() && silentMillis >= RELEASE_MILLIS
        ? TargetCondition.RELEASED
        : TargetCondition.SUSPECT;
  }
}
