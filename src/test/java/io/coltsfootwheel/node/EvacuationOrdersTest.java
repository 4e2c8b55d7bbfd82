package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WeightedService;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

class EvacuationOrdersTest {
  private static final AvailabilityZone ZONE = AvailabilityZone.of("z");

  private final ControlGroup group = new ControlGroup(3, 2);
  private int lastEntry;

  private long order(InstanceId to, AvailabilityZone zone, boolean evacuated) {
    FleetCommand.SetZoneEvacuation order = new FleetCommand.SetZoneEvacuation(zone, evacuated);
    return group.call(to, id -> new ControlEvent.EvacuationRequested(group.nowNanos(), id, order));
  }

  private ControlAnswer answer(InstanceId to, AvailabilityZone zone, boolean evacuated) {
    long call = order(to, zone, evacuated);
    group.run(300);
    return group.answer(call).orElseThrow();
  }

  private InstanceId newLeader() {
    group.run(2_500);
    return group.leader().orElseThrow();
  }

  private void register(InstanceId leader) {
    TargetRecord target =
        new TargetRecord(
            TargetId.of("t"),
            1,
            ServiceName.of("s"),
            new Address("10.1.0.1", 80),
            ZONE,
            2,
            TargetPhase.READY);
    HeartbeatReport report = new HeartbeatReport(target, 1, 0, List.of(), List.of());
    group.call(leader, id -> new ControlEvent.ReportReceived(group.nowNanos(), id, report));
    group.run(300);
  }

  /** Returns the target as the leader shows it to an entry that subscribes for the first time. */
  private OwnershipView.Target targetInViewOf(InstanceId leader) {
    group.messagesToEntries().clear();
    InstanceId entry = InstanceId.of("10.9.0." + ++lastEntry);
    NodeMessage.Subscribe subscribe =
        new NodeMessage.Subscribe(
            new Address(entry.value(), 7_000),
            0,
            0,
            0,
            new LoadReport(Map.of(), List.of()),
            0,
            0,
            false);
    group.call(leader, id -> new ControlEvent.MessageReceived(group.nowNanos(), entry, subscribe));
    return group.messagesToEntries().stream()
        .flatMap(m -> ((NodeMessage.Routing) m).view().stream())
        .flatMap(v -> v.targets().stream())
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards against a confirmed order that has no effect because its leader is lost at once, and
   * against a resent order that the next leader refuses or replicates again.
   */
  @Test
  void nextLeaderCarriesOutAConfirmedOrder() {
    InstanceId first = newLeader();
    register(first);
    assertThat(answer(first, ZONE, true)).isInstanceOf(ControlAnswer.Accepted.class);
    group.isolate(first);
    InstanceId next = newLeader();
    assertThat(targetInViewOf(next).evacuated()).isTrue();
    long index = group.member(next).state().index();
    assertThat(answer(next, ZONE, true)).isInstanceOf(ControlAnswer.Accepted.class);
    assertThat(group.member(next).state().index()).isEqualTo(index);
    assertThat(answer(next, ZONE, false)).isInstanceOf(ControlAnswer.Accepted.class);
    assertThat(targetInViewOf(next).evacuated()).isFalse();
  }

  /** Guards against the confirmation of an order that only a lost leader knows. */
  @Test
  void orderAtALeaderWithoutQuorumIsNotConfirmed() {
    InstanceId first = newLeader();
    group.isolate(first);
    long lost = order(first, ZONE, true);
    InstanceId next = newLeader();
    assertThat(group.answer(lost).orElseThrow()).isInstanceOf(ControlAnswer.Unavailable.class);
    assertThat(group.member(next).state().evacuatedZones()).isEmpty();
    assertThat(answer(next, ZONE, true)).isInstanceOf(ControlAnswer.Accepted.class);
    group.reconnectAll();
    group.run(1_000);
    assertThat(group.member(first).state().evacuatedZones()).containsExactly(ZONE);
  }

  /**
   * Guards against orders of two operators at the same moment of which the later one is confirmed
   * against the state before the earlier one, and is then undone by it.
   */
  @ParameterizedTest
  @CsvSource({"true, false", "false, true", "true, true"})
  void laterOfTwoOrdersInProgressCounts(boolean earlier, boolean later) {
    InstanceId leader = newLeader();
    long one = order(leader, ZONE, earlier);
    long other = order(leader, ZONE, later);
    group.run(500);
    for (long call : List.of(one, other)) {
      assertThat(group.answer(call).orElseThrow()).isInstanceOf(ControlAnswer.Accepted.class);
    }
    assertThat(group.member(leader).state().evacuatedZones().contains(ZONE)).isEqualTo(later);
  }

  /**
   * Guards against an order for a mistyped zone that is confirmed, and against refused real ones.
   */
  @ParameterizedTest
  @CsvSource({"z, Accepted", "empty, Accepted", "zz, Invalid"})
  void onlyZonesOfTheSettingsAreAccepted(String zone, String expected) {
    InstanceId leader = newLeader();
    for (boolean evacuated : new boolean[] {true, false}) {
      ControlAnswer answer = answer(leader, AvailabilityZone.of(zone), evacuated);
      assertThat(answer.getClass().getSimpleName()).isEqualTo(expected);
      if (answer instanceof ControlAnswer.Invalid invalid) {
        assertThat(invalid.reason()).contains("'" + zone + "'");
      }
    }
  }

  /** Guards against a process that is not the leader and confirms an order. */
  @Test
  void followerRedirectsOrders() {
    InstanceId leader = newLeader();
    List<InstanceId> others = new ArrayList<>(List.of(InstanceId.of("10.0.0.1")));
    others.add(InstanceId.of("10.0.0.2"));
    others.remove(leader);
    long call = order(others.get(0), ZONE, true);
    assertThat(group.answer(call)).contains(new ControlAnswer.Redirect(leader));
  }

  private static ControlAnswer send(
      RunningFleet fleet, Function<ControlNode, Mono<ControlAnswer>> call)
      throws InterruptedException {
    ControlAnswer answer = fleet.call(0, call);
    while (answer instanceof ControlAnswer.Unavailable
        || answer instanceof ControlAnswer.Redirect) {
      Thread.sleep(20);
      answer = fleet.call(0, call);
    }
    return answer;
  }

  private static ControlAnswer order(RunningFleet fleet, String zone, boolean evacuated)
      throws InterruptedException {
    return send(fleet, n -> n.setEvacuation(AvailabilityZone.of(zone), evacuated));
  }

  private static void awaitStatus(RunningFleet fleet, int status) throws InterruptedException {
    while (fleet.request(0, "/a/1") != status) {
      Thread.sleep(20);
    }
  }

  private static ConfigurationChange configuration() {
    ServicePolicy service = new ServicePolicy(RunningFleet.SERVICE, false, 20);
    Route route =
        new Route(
            "a",
            RunningFleet.CLIENT_HOST,
            "/a/",
            RouteKind.SAFE,
            1_000,
            1_000,
            1,
            1,
            List.of(new WeightedService(RunningFleet.SERVICE, 1)));
    return new ConfigurationChange(
        0,
        1,
        "c",
        true,
        List.of(ConfigurationItem.of(service, "{}"), ConfigurationItem.of(route, "{}")),
        List.of());
  }

  /**
   * Guards against a confirmed order that is lost when all control processes end, entries that do
   * not learn of it or of its end, and settings without zones in which each zone is known or none.
   */
  @Test
  @Timeout(60)
  void entriesFollowOrdersThatOutlastAllControlProcesses(@TempDir Path folder) throws Exception {
    try (RunningFleet fleet = new RunningFleet(folder, 3, 1)) {
      send(fleet, n -> n.change(configuration()));
      fleet.report(0);
      awaitStatus(fleet, 200);
      assertThat(order(fleet, "other", true)).isInstanceOf(ControlAnswer.Invalid.class);
      assertThat(order(fleet, "z", true)).isInstanceOf(ControlAnswer.Accepted.class);
      fleet.restartAllControls();
      assertThat(send(fleet, ControlNode::read)).isInstanceOf(ControlAnswer.Current.class);
      awaitStatus(fleet, 503);
      for (int i = 0; i < 10; i++) {
        Thread.sleep(50);
        assertThat(fleet.request(0, "/a/1")).isEqualTo(503);
      }
      assertThat(order(fleet, "z", false)).isInstanceOf(ControlAnswer.Accepted.class);
      awaitStatus(fleet, 200);
    }
  }
}
