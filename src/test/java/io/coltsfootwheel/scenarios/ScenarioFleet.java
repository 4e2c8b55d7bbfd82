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

/**
 * Runs the control state and supervisor with simulated instances that send renewals and reports.
 */
final class ScenarioFleet {
  static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final int HASH_SLOTS = 12;
  private static final int STEP_MILLIS = 50;
  private static final int SUSPECT_AFTER_MILLIS = 250;
  private static final int RELEASE_AFTER_MILLIS = 424;

  private final Supervisor supervisor = new Supervisor();
  private final Map<TargetId, Long> frozenSinceMillis = new HashMap<>();
  private final Set<InstanceId> lostInstances = new HashSet<>();
  private final Deque<SupervisorEffect> effects = new ArrayDeque<>();
  private ControlState state = ControlState.empty();
  private long nowMillis = 1_000;

  ScenarioFleet(int instances, int targets, boolean checksFences) {
    Address address = Address.parse("127.0.0.1:1");
    AvailabilityZone zone = AvailabilityZone.of("zone");
    commit(new Command.RegisterService(service(LEDGER, true)));
    commit(new Command.RegisterService(service(ServiceName.of("books"), false)));
    IntStream.rangeClosed(1, instances)
        .mapToObj(number -> new InstanceSpec(instance(number), zone, address, address, "s"))
        .forEach(spec -> commit(new Command.RegisterInstance(spec)));
    IntStream.rangeClosed(1, targets)
        .mapToObj(
            number ->
                new TargetSpec(
                    target(number),
                    LEDGER,
                    address,
                    zone,
                    2,
                    120,
                    checksFences,
                    false,
                    "incarnation"))
        .forEach(spec -> commit(new Command.AnnounceTarget(spec)));
    handle(new SupervisorEvent.LeadershipGained(nanos(), state));
    advance(2_000);
  }

  private static ServiceSpec service(ServiceName name, boolean keyed) {
    return new ServiceSpec(name, keyed, keyed ? HASH_SLOTS : 0, MovePolicy.AVAILABILITY);
  }

  static InstanceId instance(int number) {
    return InstanceId.of("instance-" + number);
  }

  static TargetId target(int number) {
    return TargetId.of("target-" + number);
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
        .flatMap(optional -> optional.stream().map(ownership -> ownership.owner()))
        .toList();
  }

  boolean ownsAllHashSlots() {
    return owners().size() == HASH_SLOTS;
  }

  void freeze(TargetId target) {
    frozenSinceMillis.put(target, nowMillis);
  }

  void loseInstance(InstanceId instance) {
    lostInstances.add(instance);
  }

  void advance(long millis) {
    for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += STEP_MILLIS) {
      handle(new SupervisorEvent.Tick(nanos()));
      List<InstanceSpec> registeredInstances = List.copyOf(state.instances());
      registeredInstances.stream()
          .filter(instance -> !lostInstances.contains(instance.id()))
          .forEach(
              instance -> handle(new SupervisorEvent.RenewalReceived(nanos(), renewal(instance))));
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
    handle(new SupervisorEvent.StateApplied(nanos(), state));
  }

  private void handle(SupervisorEvent event) {
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
          .filter(grant -> grant.holder().equals(instance.id()))
          .ifPresent(grant -> reports.add(report(target, grant)));
    }
    return new Renewal(
        instance.id(), instance.session(), nanos(), state.appliedIndex(), false, reports);
  }

  private TargetReport report(TargetEntry target, DispatchGrant grant) {
    TargetId id = target.spec().id();
    TargetCondition condition = condition(target);
    boolean responsive = condition == TargetCondition.HEALTHY;
    List<Integer> releasedHashSlots =
        IntStream.range(0, HASH_SLOTS)
            .filter(
                slot ->
                    responsive
                        && state
                            .ownership(LEDGER, slot)
                            .filter(
                                ownership ->
                                    ownership.owner().equals(id)
                                        && ownership.handoverTo().isPresent())
                            .isPresent())
            .boxed()
            .toList();
    return new TargetReport(
        id, grant.fence(), condition, responsive ? 0 : 1, 0, 0, releasedHashSlots, List.of());
  }

  /**
   * Returns the condition that the dispatcher of a target reports. A frozen target that does not
   * check fences is never reported as released, because its request in flight may still run.
   */
  private TargetCondition condition(TargetEntry target) {
    long unresponsiveMillis =
        nowMillis - frozenSinceMillis.getOrDefault(target.spec().id(), nowMillis);
    if (unresponsiveMillis < SUSPECT_AFTER_MILLIS) {
      return TargetCondition.HEALTHY;
    }
    return target.spec().checksFences() && unresponsiveMillis >= RELEASE_AFTER_MILLIS
        ? TargetCondition.RELEASED
        : TargetCondition.SUSPECT;
  }
}
