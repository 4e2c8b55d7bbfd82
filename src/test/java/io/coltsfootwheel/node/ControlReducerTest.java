package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipSettings;
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
import io.coltsfootwheel.routing.ServicePolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ControlReducerTest {
  private static final InstanceId ENTRY = InstanceId.of("10.9.0.1");
  private static final InstanceId FIRST = InstanceId.of("10.0.0.1");
  private static final ServiceName LEDGER = ServiceName.of("ledger");

  private final ControlGroup group = new ControlGroup(3, 2);

  private static ConfigurationChange change(long base, long version, String fingerprint) {
    return new ConfigurationChange(
        base,
        version,
        fingerprint,
        true,
        List.of(ConfigurationItem.of(new ServicePolicy(LEDGER, true, 10), "{}")),
        List.of());
  }

  private ControlAnswer change(InstanceId to, long base, long version, String fingerprint) {
    long call =
        group.call(
            to,
            id ->
                new ControlEvent.ChangeRequested(
                    group.nowNanos(), id, change(base, version, fingerprint)));
    group.run(500);
    return group.answer(call).orElseThrow();
  }

  private static HeartbeatReport report(String id, long sequence, TargetPhase phase) {
    return new HeartbeatReport(
        new TargetRecord(
            TargetId.of(id),
            1,
            LEDGER,
            new Address("10.1.0.1", 8_000),
            AvailabilityZone.of("z"),
            2,
            phase),
        sequence,
        0,
        List.of(),
        List.of());
  }

  /** Guards against two groups after a first start, and against members that never join. */
  @Test
  void firstStartFormsOneGroupOfAllProcesses() {
    group.run(3_000);
    assertThat(group.leaderCount()).isEqualTo(1);
    ControlAnswer answer = change(group.leader().orElseThrow(), 0, 1, "a");
    assertThat(answer).isInstanceOf(ControlAnswer.Accepted.class);
    group.isolate(group.leader().orElseThrow());
    group.run(1_500);
    group.isolate(group.leader().orElseThrow());
    group.run(2_000);
    assertThat(group.leader()).isPresent();
  }

  /** Guards against a process with an empty disk that forms a second group. */
  @Test
  void processWithAnEmptyDiskFormsNoGroup() {
    ControlGroup emptyGroup = new ControlGroup(0, 0);
    emptyGroup.add(FIRST, false);
    emptyGroup.run(5_000);
    assertThat(emptyGroup.leaderCount()).isZero();
  }

  /** Guards against a committed change that the next leader rejects when it is sent again. */
  @Test
  void repeatedChangeIsAcceptedByTheNextLeader() {
    group.run(3_000);
    InstanceId first = group.leader().orElseThrow();
    assertThat(change(first, 0, 1, "a")).isInstanceOf(ControlAnswer.Accepted.class);
    group.isolate(first);
    group.run(2_000);
    InstanceId next = group.leader().orElseThrow();
    assertThat(next).isNotEqualTo(first);
    assertThat(change(next, 0, 1, "a")).isInstanceOf(ControlAnswer.Accepted.class);
    assertThat(change(next, 0, 2, "b")).isInstanceOf(ControlAnswer.Conflict.class);
  }

  /**
   * Guards against a leader without a quorum that answers reads, accepts changes or renews leases.
   */
  @Test
  void isolatedLeaderAcknowledgesNothing() {
    group.run(3_000);
    InstanceId first = group.leader().orElseThrow();
    change(first, 0, 1, "a");
    group.isolate(first);
    long read = group.call(first, id -> new ControlEvent.ReadRequested(group.nowNanos(), id));
    long change =
        group.call(
            first, id -> new ControlEvent.ChangeRequested(group.nowNanos(), id, change(1, 2, "b")));
    long renewal =
        group.call(
            first,
            id ->
                new ControlEvent.ReportReceived(
                    group.nowNanos(), id, report("t", 1, TargetPhase.READY)));
    group.run(2_000);
    assertThat(List.of(read, change, renewal))
        .allMatch(call -> group.answer(call).orElseThrow() instanceof ControlAnswer.Unavailable);
  }

  /** Guards against two changes on the same base version that are both accepted. */
  @Test
  void oneOfTwoConcurrentChangesIsAccepted() {
    group.run(3_000);
    InstanceId leader = group.leader().orElseThrow();
    long one =
        group.call(
            leader,
            id -> new ControlEvent.ChangeRequested(group.nowNanos(), id, change(0, 5, "a")));
    long other =
        group.call(
            leader,
            id -> new ControlEvent.ChangeRequested(group.nowNanos(), id, change(0, 5, "b")));
    group.run(500);
    assertThat(group.answer(one).orElseThrow()).isInstanceOf(ControlAnswer.Accepted.class);
    assertThat(group.answer(other).orElseThrow()).isInstanceOf(ControlAnswer.Conflict.class);
  }

  /** Guards against a follower that answers a read instead of redirecting to the leader. */
  @Test
  void followerRedirectsToTheLeader() {
    group.run(3_000);
    InstanceId leader = group.leader().orElseThrow();
    InstanceId follower =
        List.of("10.0.0.1", "10.0.0.2").stream()
            .map(InstanceId::of)
            .filter(i -> !i.equals(leader))
            .findFirst()
            .orElseThrow();
    long call = group.call(follower, id -> new ControlEvent.ReadRequested(group.nowNanos(), id));
    assertThat(group.answer(call)).contains(new ControlAnswer.Redirect(leader));
  }

  /** Guards against an acknowledged drain that is lost when the leader changes. */
  @Test
  void drainIsReplicatedBeforeItIsAcknowledged() {
    group.run(3_000);
    InstanceId first = group.leader().orElseThrow();
    change(first, 0, 1, "a");
    group.call(
        first,
        id ->
            new ControlEvent.ReportReceived(
                group.nowNanos(), id, report("t", 1, TargetPhase.READY)));
    group.run(200);
    long drainCall =
        group.call(
            first,
            id ->
                new ControlEvent.ReportReceived(
                    group.nowNanos(), id, report("t", 2, TargetPhase.DRAINING)));
    group.run(100);
    assertThat(group.answer(drainCall).orElseThrow())
        .isInstanceOf(ControlAnswer.Acknowledged.class);
    group.isolate(first);
    group.run(2_000);
    InstanceId next = group.leader().orElseThrow();
    TargetPhase phase = group.member(next).state().target(TargetId.of("t")).orElseThrow().phase();
    assertThat(phase).isEqualTo(TargetPhase.DRAINING);
  }

  /** Guards against subscribed entries that receive no update when the configuration changes. */
  @Test
  void subscribedEntryReceivesEachChange() {
    group.run(3_000);
    InstanceId leader = group.leader().orElseThrow();
    NodeMessage.Subscribe subscribe = subscription(0, 0, 0);
    group.call(leader, id -> new ControlEvent.MessageReceived(group.nowNanos(), ENTRY, subscribe));
    group.messagesToEntries().clear();
    change(leader, 0, 1, "a");
    assertThat(group.messagesToEntries())
        .anyMatch(
            m ->
                m instanceof NodeMessage.Routing r
                    && r.configuration().filter(c -> c.version() == 1).isPresent());
  }

  private OptionalLong confirmedAfterSubscriptions(InstanceId leader, long... sentNanos) {
    for (long nanos : sentNanos) {
      group.messagesToEntries().clear();
      NodeMessage.Subscribe subscribe = subscription(0, 0, nanos);
      group.call(
          leader, id -> new ControlEvent.MessageReceived(group.nowNanos(), ENTRY, subscribe));
      group.run(50);
    }
    NodeMessage last = group.messagesToEntries().get(0);
    return ((NodeMessage.Routing) last).confirmedNanos();
  }

  /**
   * Guards against a leader that tells an entry that its routes are the newest although another
   * process may lead and may have changed them.
   */
  @Test
  void leaderWithoutQuorumConfirmsNoSubscription() {
    group.run(3_000);
    InstanceId leader = group.leader().orElseThrow();
    assertThat(confirmedAfterSubscriptions(leader, 1_000, 2_000)).hasValue(1_000);
    assertThat(confirmedAfterSubscriptions(leader, 3_000)).hasValue(2_000);
    group.isolate(leader);
    assertThat(confirmedAfterSubscriptions(leader, 4_000, 5_000)).hasValue(3_000);
  }

  private LeaderSession leaderSession(long term, TargetRecord target, List<NodeMessage> sent) {
    return new LeaderSession(
        FIRST,
        term,
        new RecordingActions(sent),
        OwnershipSettings.of(870, 10_000),
        new GroupMembership(5, 2_000_000_000L, group.nowNanos()),
        FleetState.empty().apply(1, new FleetCommand.RegisterTarget(target)),
        Set.of(),
        group.nowNanos());
  }

  private static NodeMessage.Subscribe subscription(long term, long viewSequence, long sentNanos) {
    return new NodeMessage.Subscribe(
        new Address(ENTRY.value(), 7_000),
        0,
        term,
        viewSequence,
        new LoadReport(Map.of(), List.of()),
        0,
        sentNanos,
        false);
  }

  /**
   * Guards against a new leader that sends an entry a view without targets before its first tick:
   * the entry would refuse all requests until the next update.
   */
  @Test
  void newLeaderSendsItsTargetsBeforeItsFirstTick() {
    TargetRecord target = report("t", 1, TargetPhase.READY).target();
    List<NodeMessage> sent = new ArrayList<>();
    LeaderSession session = leaderSession(2, target, sent);
    session.subscribe(group.nowNanos(), ENTRY, subscription(1, 7, 0));
    assertThat(sent).hasSize(2);
    OwnershipView view = ((NodeMessage.Routing) sent.get(1)).view().orElseThrow();
    assertThat(view.targets()).extracting(OwnershipView.Target::id).containsExactly(target.id());
  }

  /**
   * Guards against an entry that waits for routes because the first answer was sent while there was
   * no link to it, as after a restart of all processes.
   */
  @Test
  void answerThatWasLostIsSentAgainAtOnce() {
    TargetRecord target = report("t", 1, TargetPhase.READY).target();
    List<NodeMessage> sent = new ArrayList<>();
    LeaderSession session = leaderSession(1, target, sent);
    NodeMessage.Subscribe subscribe = subscription(0, 0, 0);
    session.subscribe(group.nowNanos(), ENTRY, subscribe);
    session.subscribe(group.nowNanos() + 1, ENTRY, subscribe);
    session.linkLost(ENTRY);
    session.subscribe(group.nowNanos() + 2, ENTRY, subscribe);
    assertThat(sent)
        .extracting(m -> ((NodeMessage.Routing) m).view().isPresent())
        .containsExactly(false, true, false, false, true);
  }
}
