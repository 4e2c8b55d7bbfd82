package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.GrantMethod;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WarmupPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PermitMessageTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final TargetId TARGET = TargetId.of("t");
  private static final InstanceId ENTRY = InstanceId.of("10.9.0.1");
  private static final long ASKED_NANOS = 42;

  private final List<NodeMessage> sent = new ArrayList<>();
  private FleetState state = stateWithService();
  private final LeaderSession session =
      new LeaderSession(
          InstanceId.of("10.0.0.1"),
          1,
          new RecordingActions(sent),
          OwnershipSettings.of(870, 10_000),
          new GroupMembership(1, TimeUnit.SECONDS.toNanos(1), 0),
          state,
          Set.of(),
          0);

  private static FleetState stateWithService() {
    ServicePolicy policy =
        new ServicePolicy(
            SERVICE, false, 100, GrantMethod.HEARTBEAT, Optional.of(new WarmupPolicy(3, 3.7)));
    List<ConfigurationItem> items = List.of(ConfigurationItem.of(policy, "{}"));
    return FleetState.empty()
        .apply(
            1,
            new FleetCommand.ChangeConfiguration(
                new ConfigurationChange(0, 1, "c", true, items, List.of())));
  }

  @BeforeEach
  void registerColdTarget() {
    TargetRecord target =
        new TargetRecord(
            TARGET,
            1,
            SERVICE,
            new Address("10.1.0.1", 80),
            AvailabilityZone.of("z"),
            2,
            TargetPhase.READY);
    session.report(0, 1, new HeartbeatReport(target, 1, 3_000, List.of(), List.of()));
    FleetCommand command = new FleetCommand.RegisterTarget(target);
    state = state.apply(2, command);
    session.onApplied(command, state);
    session.setEntries(List.of(ENTRY));
    session.tick(0, List.of());
    session.onConfirmationResult(0, true);
  }

  private List<NodeMessage.Permits> sentPermits() {
    return sent.stream().flatMap(m -> ((NodeMessage.Routing) m).permits().stream()).toList();
  }

  /** Guards against permits of a deposed leader, and against a validity from another question. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void permitsAreSentOnlyAfterALaterQuorumRound(boolean confirmed) {
    LoadReport load = new LoadReport(Map.of(), List.of(), List.of(), Map.of(TARGET, 2));
    session.subscribe(
        1,
        ENTRY,
        new NodeMessage.Subscribe(
            new Address("10.9.0.1", 7_000), 0, 0, 0, load, 0, ASKED_NANOS, false));
    assertThat(sentPermits()).isEmpty();
    session.tick(2, List.of());
    assertThat(sentPermits()).isEmpty();
    session.onConfirmationResult(0, confirmed);
    NodeMessage.Permits expected =
        new NodeMessage.Permits(ASKED_NANOS, Map.of(TARGET, new PermitGrant(2, 0)));
    assertThat(sentPermits()).isEqualTo(confirmed ? List.of(expected) : List.of());
  }
}
