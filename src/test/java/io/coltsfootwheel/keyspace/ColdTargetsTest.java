package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ColdTargetsTest {
  private static final ServiceName LIMITED = ServiceName.of("limited");
  private static final TargetId TARGET = TargetId.of("t");
  private static final InstanceId ENTRY = InstanceId.of("e");
  private static final double RATE = 3.7;

  /** Requests per second for all keys together, spread evenly. */
  private static final double SERVICE_RATE = 72;

  private long nowMillis = 1_000;
  private long index = 1;
  private FleetState state = InitialStates.withService(LIMITED, GrantMethod.HEARTBEAT, RATE);
  private OwnershipLeader leader = newLeader();

  private OwnershipLeader newLeader() {
    return new OwnershipLeader(OwnershipSettings.of(870, 10_000), state, nanos());
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private void report(ServiceName service, long sequence, long warmupLeftMillis) {
    TargetRecord target = target(TARGET.value(), service, TargetPhase.READY);
    report(new HeartbeatReport(target, sequence, warmupLeftMillis, List.of(), List.of()));
    leader.tick(nanos());
  }

  private void report(HeartbeatReport report) {
    leader.report(nanos(), report).commands().forEach(this::apply);
  }

  private void apply(FleetCommand command) {
    state = state.apply(++index, command);
    leader.applied(command, state);
  }

  private static TargetRecord target(String name, ServiceName service, TargetPhase phase) {
    return new TargetRecord(
        TargetId.of(name),
        1,
        service,
        new Address("10.0.0.1", 80 + name.hashCode() % 10),
        AvailabilityZone.of("z"),
        2,
        phase);
  }

  private WarmupState viewedState() {
    return leader.view(nanos()).targets().get(0).warmup();
  }

  private int permits(int wanted) {
    leader.tick(nanos());
    PermitGrant none = new PermitGrant(0, 0);
    return leader
        .takePermits(nanos(), ENTRY, Map.of(TARGET, wanted))
        .getOrDefault(TARGET, none)
        .permits();
  }

  /** Guards against entries that learn of a target earlier than that it is cold. */
  @ParameterizedTest
  @CsvSource({"limited, 3000, COLD", "limited, 0, WARM", "unlimited, 3000, WARM"})
  void targetAppearsWithItsState(String service, long warmupLeftMillis, WarmupState expected) {
    report(ServiceName.of(service), 1, warmupLeftMillis);
    assertThat(viewedState()).isEqualTo(expected);
  }

  /** Guards against a change of state that is not sent until something else changes the view. */
  @Test
  void changesOfStateMakeTheViewDue() {
    report(LIMITED, 1, 2_000);
    leader.takeViewChanged();
    nowMillis += 2_001;
    leader.tick(nanos());
    assertThat(leader.takeViewChanged()).isTrue();
    assertThat(viewedState()).isEqualTo(WarmupState.WARM);
    report(LIMITED, 2, 3_000);
    assertThat(leader.takeViewChanged()).isTrue();
    assertThat(viewedState()).isEqualTo(WarmupState.COLD);
  }

  /**
   * Guards against a new leader that takes all targets as warm before they report, and against one
   * that grants a burst in addition to that of its predecessor.
   */
  @Test
  void newTermStartsWithUnknownStatesAndEmptyBuckets() {
    report(LIMITED, 1, 3_000);
    assertThat(permits(100)).isEqualTo(4);
    leader = newLeader();
    assertThat(viewedState()).isEqualTo(WarmupState.UNKNOWN);
    assertThat(permits(100)).isZero();
    nowMillis += 500;
    report(LIMITED, 2, 2_500);
    assertThat(permits(100)).isEqualTo(1);
  }

  /** Guards against a burst for a target that received its usual load a moment ago. */
  @Test
  void targetThatBecomesColdAgainStartsWithAnEmptyBucket() {
    report(LIMITED, 1, 0);
    nowMillis += 10_000;
    report(LIMITED, 2, 3_000);
    assertThat(permits(100)).isZero();
  }

  /** Guards against a whole range for an idle cold target, which does not sustain its load. */
  @ParameterizedTest
  @CsvSource({"0, cold", "3000, busy"})
  void releasedRangeGoesToATargetThatSustainsIt(long warmupLeftMillis, String expectedOwner) {
    KeyRange busyRange = new KeyRange(0, 999);
    KeyRange released = new KeyRange(1_000, KeyRange.MAX_KEY);
    List<HeldRange> none = List.of();
    report(new HeartbeatReport(target("busy", LIMITED, TargetPhase.READY), 1, 0, none, List.of()));
    report(
        new HeartbeatReport(
            target("cold", LIMITED, TargetPhase.READY), 1, warmupLeftMillis, none, List.of()));
    report(new HeartbeatReport(target("left", LIMITED, TargetPhase.READY), 1, 0, none, List.of()));
    assign(busyRange, "busy");
    assign(released, "left");
    for (int i = 0; i < 20; i++) {
      nowMillis += 100;
      // 8 requests per second for the keys of one target, 4 for those of the other.
      Map<Integer, Integer> counts = i % 5 < 4 ? Map.of(1, 1, 1_001, i % 2) : Map.of(2, 1);
      leader.recordLoad(
          nanos(), ENTRY, new LoadReport(Map.of(LIMITED, counts), List.of()).withValidCounts());
    }
    for (String name : List.of("busy", "cold")) {
      long left = name.equals("cold") ? warmupLeftMillis : 0;
      report(
          new HeartbeatReport(target(name, LIMITED, TargetPhase.READY), 2, left, none, List.of()));
    }
    TargetRecord leaving = target("left", LIMITED, TargetPhase.DRAINING);
    report(new HeartbeatReport(leaving, 2, 0, none, List.of()));
    leader.grant(nanos(), leaving.id(), 1);
    report(new HeartbeatReport(leaving, 3, 0, none, List.of(new ReleasedRange(released, "token"))));
    assertThat(state.table(LIMITED).rangesOf(TargetId.of(expectedOwner)))
        .anyMatch(r -> r.range().contains(KeyRange.MAX_KEY));
  }

  private void assign(KeyRange range, String owner) {
    FleetCommand.Assignment assignment =
        new FleetCommand.Assignment(range, Optional.empty(), TargetId.of(owner), "");
    apply(new FleetCommand.AssignRanges(LIMITED, List.of(assignment)));
  }

  /**
   * Load pattern: 9 requests per second and target. Guards against a new cold target that is
   * assigned more than it sustains, or nothing for four seconds.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void newColdTargetReceivesAFewKeys(long seed) {
    OwnershipSimulation simulation = new OwnershipSimulation(seed);
    simulation.start(8);
    simulation.setLoad(key -> SERVICE_RATE / (KeyRange.MAX_KEY + 1));
    simulation.runWithoutFaults(10_000);
    simulation.setWarmupMillis(8_000);
    simulation.add();
    simulation.runWithoutFaults(4_000);
    assertThat(requestsPerSecond(simulation, "t8")).isBetween(0.1, RATE);
    simulation.runWithoutFaults(3_000);
    assertThat(requestsPerSecond(simulation, "t8")).isBetween(0.1, RATE);
  }

  /**
   * Load pattern: a target with 9 or 4.5 requests per second restarts. Guards against ranges kept
   * whose load it does not sustain, and against more given up than the excess.
   */
  @ParameterizedTest
  @CsvSource({"1, 72, 0.9", "2, 72, 0.9", "3, 72, 0.9", "1, 36, 2", "2, 36, 2", "3, 36, 2"})
  void restartedTargetReleasesWhatItDoesNotSustain(
      long seed, double serviceRate, double leastKept) {
    OwnershipSimulation simulation = new OwnershipSimulation(seed);
    simulation.start(8);
    simulation.setLoad(key -> serviceRate / (KeyRange.MAX_KEY + 1));
    simulation.runWithoutFaults(10_000);
    simulation.setWarmupMillis(8_000);
    simulation.restart(TargetId.of("t0"));
    simulation.runWithoutFaults(4_000);
    assertThat(requestsPerSecond(simulation, "t0") * serviceRate / SERVICE_RATE)
        .isBetween(leastKept, RATE * 1.1);
  }

  private static double requestsPerSecond(OwnershipSimulation simulation, String target) {
    return SERVICE_RATE * simulation.shares(KeyRange.ALL).getOrDefault(TargetId.of(target), 0.0);
  }
}
