package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Runs a leader whose commands a test applies in an order and at times of its choice. */
final class OwnershipLeaderHarness {
  private static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final OwnershipSettings SETTINGS = OwnershipSettings.of(870, 10_000);

  /** Time after an answer at which the lease granted by it has expired. */
  static final long LEASE_MILLIS = TimeUnit.NANOSECONDS.toMillis(SETTINGS.leaseNanos()) + 10;

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final Map<String, Long> sequences = new HashMap<>();
  private long nowNanos = TimeUnit.SECONDS.toNanos(1);
  private long index = 1;
  private FleetState state;
  private OwnershipLeader leader;

  OwnershipLeaderHarness() {
    this(GrantMethod.HEARTBEAT);
  }

  OwnershipLeaderHarness(GrantMethod grantMethod) {
    ConfigurationItem service =
        ConfigurationItem.of(new ServicePolicy(LEDGER, true, 100, grantMethod), "{}");
    ConfigurationChange change =
        new ConfigurationChange(0, 1, "c", true, List.of(service), List.of());
    state = FleetState.empty().apply(index, new FleetCommand.ChangeConfiguration(change));
    leader = new OwnershipLeader(SETTINGS, state, nowNanos);
  }

  /** Sends the first report of a target and applies the resulting commands. */
  void register(String name) {
    apply(report(name, TargetPhase.READY));
  }

  /** Starts or ends the evacuation of the zone of all targets whose name begins with a letter. */
  void setEvacuation(String firstLetter, boolean evacuated) {
    apply(
        List.of(
            new FleetCommand.SetZoneEvacuation(AvailabilityZone.of("z" + firstLetter), evacuated)));
  }

  void assign(KeyRange range, String name) {
    FleetCommand.Assignment assignment =
        new FleetCommand.Assignment(range, Optional.empty(), TargetId.of(name), "");
    apply(List.of(new FleetCommand.AssignRanges(LEDGER, List.of(assignment))));
  }

  /**
   * Sends a report of a target, applies the resulting commands and grants the lease.
   *
   * @return the ranges granted
   */
  List<KeyRange> reportAndGrant(String name, TargetPhase phase) {
    apply(report(name, phase));
    return leader.grant(nowNanos, TargetId.of(name), 1).map(LeaseGrant::ranges).stream()
        .flatMap(List::stream)
        .map(OwnedRange::range)
        .toList();
  }

  /** Answers a report of an incarnation of a target. */
  void grant(String name, long incarnationMillis) {
    leader.grant(nowNanos, TargetId.of(name), incarnationMillis);
  }

  void leave(String name) {
    apply(leader.leave(new TargetLeave(TargetId.of(name), OptionalLong.empty())).stream().toList());
  }

  boolean hasReportedSinceEvacuation(String name) {
    return leader.hasReportedSinceEvacuation(TargetId.of(name));
  }

  boolean isRegistered(String name) {
    return state.target(TargetId.of(name)).isPresent();
  }

  int targetCount() {
    return state.targets().size();
  }

  /** Elects a leader whose state comes from a snapshot. */
  void restoreFromSnapshot() {
    state = FleetState.fromSnapshot(state.toSnapshot());
    electLeader();
  }

  /** Replaces the leader, as an election does. */
  void electLeader() {
    leader = new OwnershipLeader(SETTINGS, state, nowNanos);
  }

  /** Returns the owner of a key. */
  String owner(int key) {
    return owners().ranges().stream()
        .filter(r -> r.range().contains(key))
        .map(r -> r.owner().value())
        .findFirst()
        .orElse("");
  }

  /** Sends a report of a target that holds no keys, and returns the commands to propose. */
  List<FleetCommand> report(String name, TargetPhase phase) {
    return report(name, 1, port(name), phase);
  }

  /** Returns the port at which a target runs for which a test chooses none. */
  static int port(String name) {
    return 1_000 + Math.floorMod(name.hashCode(), 1_000);
  }

  /** Sends a report of a target that holds no keys, and returns the commands to propose. */
  List<FleetCommand> report(String name, long incarnationMillis, int port, TargetPhase phase) {
    return report(name, incarnationMillis, LEDGER, port, phase);
  }

  /** Sends a report of a target whose service is not configured. */
  List<FleetCommand> reportOfUnknownService(String name, long incarnationMillis, int port) {
    ServiceName unknown = ServiceName.of("unknown");
    return report(name, incarnationMillis, unknown, port, TargetPhase.READY);
  }

  private List<FleetCommand> report(
      String name, long incarnationMillis, ServiceName service, int port, TargetPhase phase) {
    nowNanos += STEP_NANOS;
    long sequence = sequences.merge(name, 1L, Long::sum);
    TargetRecord target =
        new TargetRecord(
            TargetId.of(name),
            incarnationMillis,
            service,
            new Address("10.0.0.1", port),
            AvailabilityZone.of("z" + name.charAt(0)),
            2,
            phase);
    HeartbeatReport report = new HeartbeatReport(target, sequence, 0, List.of(), List.of());
    return leader.report(nowNanos, report).commands();
  }

  /** Takes the due calls, ends each with an outcome, and returns the commands to propose. */
  List<FleetCommand> endDueCalls(TargetCallResult.Outcome outcome) {
    List<FleetCommand> commands = new ArrayList<>();
    for (TargetCall call : leader.takeDueCalls(nowNanos)) {
      commands.addAll(leader.callCompleted(nowNanos, call, TargetCallResult.of(outcome)));
    }
    return commands;
  }

  /** Takes the due calls without ending them. */
  List<TargetCall> takeDueCalls() {
    return leader.takeDueCalls(nowNanos);
  }

  long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos);
  }

  void advance(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  List<FleetCommand> tick() {
    nowNanos += STEP_NANOS;
    return leader.tick(nowNanos);
  }

  RangeTable owners() {
    return state.table(LEDGER);
  }

  void apply(List<FleetCommand> commands) {
    for (FleetCommand command : commands) {
      index++;
      state = state.apply(index, command);
      leader.applied(command, state);
    }
  }
}
