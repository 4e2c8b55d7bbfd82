package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.consensus.SnapshotSchedule;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Decision logic of one control process: it drives the replicated log and, while the process leads,
 * a {@link LeaderSession}. Deterministic; {@link ControlNode} executes the effects in order.
 */
final class ControlReducer {
  private static final int COMMANDS_BETWEEN_SNAPSHOTS = 2_000;
  private static final long JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Longer than most elections. */
  private static final long REJOIN_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ControlSettings settings;
  private final MemberId self;
  private final ReplicationReducer replication;
  private final EntrySubscriptions subscriptions = new EntrySubscriptions();
  private final Deque<ReplicationEvent> pending = new ArrayDeque<>();
  private final LeaderActions actions = new QueuedActions();
  private final SnapshotSchedule snapshots =
      new SnapshotSchedule(COMMANDS_BETWEEN_SNAPSHOTS, SnapshotSchedule.MAX_COMMAND_BYTES);

  /** Processes that asked to join the group; links to them are kept open for the responses. */
  private final Set<InstanceId> joiningInstances = new LinkedHashSet<>();

  private List<InstanceId> seeds;
  private List<ControlEffect> effects = new ArrayList<>();
  private Optional<LeaderSession> session = Optional.empty();
  private FleetState state = FleetState.empty();
  private Role role = Role.FOLLOWER;
  private long term;
  private Optional<InstanceId> leader = Optional.empty();
  private Set<InstanceId> linkedMembers = Set.of();
  private Map<InstanceId, Address> linkedEntries = Map.of();
  private long nextRequestId = 1;
  private long nowNanos;
  private long nextJoinNanos;
  private long leaderKnownNanos;

  ControlReducer(
      ControlSettings settings, MemberId self, ReplicationReducer replication, long nowNanos) {
    this.settings = settings;
    this.self = self;
    this.replication = replication;
    this.nowNanos = nowNanos;
    this.nextJoinNanos = nowNanos;
    this.leaderKnownNanos = nowNanos;
    this.seeds = settings.seeds();
  }

  /** Processes an event and returns the effects, in the order in which they are executed. */
  List<ControlEffect> apply(ControlEvent event) {
    effects = new ArrayList<>();
    nowNanos = event.nowNanos();
    session.ifPresent(s -> s.setEventTime(nowNanos));
    dispatch(event);
    processPending();
    updatePeers();
    return effects;
  }

  FleetState state() {
    return state;
  }

  Role role() {
    return role;
  }

  long term() {
    return term;
  }

  /** Returns the number of commands applied since the latest snapshot. */
  int commandsSinceSnapshot() {
    return snapshots.commands();
  }

  /** Returns the bytes of the commands applied since the latest snapshot. */
  long commandBytesSinceSnapshot() {
    return snapshots.commandBytes();
  }

  private void dispatch(ControlEvent event) {
    if (event instanceof ControlEvent.Tick) {
      tick();
    } else if (event instanceof ControlEvent.JournalResult result) {
      pending.add(result.event());
      if (result.event() instanceof ReplicationEvent.PersistFailed) {
        processPending();
        effects.add(new ControlEffect.CloseJournal());
      }
    } else if (event instanceof ControlEvent.SeedsChanged changed) {
      seeds = List.copyOf(changed.seeds());
    } else if (event instanceof ControlEvent.MessageReceived received) {
      receive(received.from(), received.message());
    } else if (event instanceof ControlEvent.LinkLost lost) {
      session.ifPresent(s -> s.linkLost(lost.peer()));
    } else if (event instanceof ControlEvent.ReportReceived report) {
      withLeaderSession(
          report.requestId(), s -> s.report(nowNanos, report.requestId(), report.report()));
    } else if (event instanceof ControlEvent.LeaveReceived leave) {
      withLeaderSession(leave.requestId(), s -> s.leave(leave.requestId(), leave.leave()));
    } else if (event instanceof ControlEvent.ChangeRequested change) {
      withLeaderSession(change.requestId(), s -> s.change(change.requestId(), change.change()));
    } else if (event instanceof ControlEvent.EvacuationRequested request) {
      withLeaderSession(request.requestId(), s -> s.evacuate(request.requestId(), request.order()));
    } else if (event instanceof ControlEvent.TargetCallEnded ended) {
      session.ifPresent(s -> s.targetCallEnded(nowNanos, ended.call(), ended.result()));
    } else if (event instanceof ControlEvent.ReadRequested read) {
      withLeaderSession(read.requestId(), s -> s.read(read.requestId()));
    }
  }

  private void withLeaderSession(long requestId, Consumer<LeaderSession> action) {
    if (session.isPresent()) {
      action.accept(session.get());
      return;
    }
    ControlAnswer answer =
        leader
            .filter(l -> !l.equals(self.instance()))
            .<ControlAnswer>map(ControlAnswer.Redirect::new)
            .orElse(new ControlAnswer.Unavailable("the control leader is not known"));
    effects.add(new ControlEffect.Answer(requestId, answer));
  }

  private void tick() {
    pending.add(new ReplicationEvent.Tick(nowNanos));
    processPending();
    subscriptions.removeExpired(nowNanos);
    session.ifPresent(s -> s.setEntries(subscriptions.entries()));
    List<MemberProgress> progress = replication.progress();
    session.ifPresent(s -> s.tick(nowNanos, progress));
    if (leader.isPresent()) {
      leaderKnownNanos = nowNanos;
    }
    if (mustJoin() && nowNanos - nextJoinNanos >= 0) {
      nextJoinNanos = nowNanos + JOIN_INTERVAL_NANOS;
      peerInstances().forEach(c -> actions.send(c, new NodeMessage.Join(self.diskId())));
    }
  }

  /**
   * Tells whether this process asks to join: it belongs to no group, or hears of no leader. A
   * member that was removed while it could not be reached does not learn of its removal.
   */
  private boolean mustJoin() {
    return replication.configuration().isEmpty() || nowNanos - leaderKnownNanos > REJOIN_NANOS;
  }

  private void receive(InstanceId from, NodeMessage message) {
    if (message instanceof NodeMessage.Replication replicated) {
      MemberId sender = new MemberId(from, replicated.fromDisk());
      pending.add(new ReplicationEvent.MessageReceived(nowNanos, sender, replicated.message()));
    } else if (message instanceof NodeMessage.Join join) {
      receiveJoin(from, join);
    } else if (message instanceof NodeMessage.Subscribe subscribe) {
      subscriptions.heard(nowNanos, from, subscribe.linkAddress());
      session.ifPresent(s -> s.setEntries(subscriptions.entries()));
      session.ifPresentOrElse(
          s -> s.subscribe(nowNanos, from, subscribe),
          () -> actions.send(from, new NodeMessage.Directory(leader, memberNames())));
    } else if (message instanceof NodeMessage.Directory directory) {
      addMembers(directory);
    }
  }

  private void receiveJoin(InstanceId from, NodeMessage.Join join) {
    if (session.isPresent()) {
      session.get().recordJoinRequest(nowNanos, new MemberId(from, join.diskId()));
      joiningInstances.add(from);
    } else {
      joiningInstances.add(from);
      actions.send(from, new NodeMessage.Directory(leader, memberNames()));
    }
  }

  private void addMembers(NodeMessage.Directory directory) {
    Set<InstanceId> known = new LinkedHashSet<>(seeds);
    known.addAll(directory.members());
    directory.leader().ifPresent(known::add);
    seeds = List.copyOf(known);
  }

  private List<InstanceId> memberNames() {
    return replication.configuration().stream()
        .flatMap(c -> c.members().stream())
        .map(MemberId::instance)
        .distinct()
        .toList();
  }

  private Set<InstanceId> peerInstances() {
    Set<InstanceId> all = new LinkedHashSet<>(seeds);
    all.addAll(memberNames());
    all.addAll(joiningInstances);
    all.remove(self.instance());
    return all;
  }

  private void updatePeers() {
    Set<InstanceId> members = peerInstances();
    Map<InstanceId, Address> entries = subscriptions.addresses();
    if (!members.equals(linkedMembers) || !entries.equals(linkedEntries)) {
      linkedMembers = members;
      linkedEntries = entries;
      effects.add(0, new ControlEffect.Peers(members, entries));
    }
  }

  private void processPending() {
    while (!pending.isEmpty()) {
      for (ReplicationEffect effect : replication.apply(pending.poll())) {
        execute(effect);
      }
    }
  }

  private void execute(ReplicationEffect effect) {
    if (effect instanceof ReplicationEffect.Send send) {
      actions.send(
          send.to().instance(),
          new NodeMessage.Replication(self.diskId(), send.to().diskId(), send.message()));
    } else if (effect instanceof ReplicationEffect.Persist
        || effect instanceof ReplicationEffect.PersistSnapshot) {
      effects.add(new ControlEffect.Persist(effect));
    } else if (effect instanceof ReplicationEffect.ApplyCommitted committed) {
      applyCommitted(committed);
    } else if (effect instanceof ReplicationEffect.InstallSnapshot snapshot) {
      state = FleetState.fromSnapshot(snapshot.bytes());
      snapshots.reset();
    } else if (effect instanceof ReplicationEffect.ProposalCommitted committed) {
      session.ifPresent(s -> s.onProposalResult(committed.proposalId(), true));
    } else if (effect instanceof ReplicationEffect.ProposalRejected rejected) {
      session.ifPresent(s -> s.onProposalResult(rejected.proposalId(), false));
    } else if (effect instanceof ReplicationEffect.LeadershipConfirmed confirmed) {
      session.ifPresent(s -> s.onConfirmationResult(confirmed.requestId(), true));
    } else if (effect instanceof ReplicationEffect.LeadershipNotConfirmed notConfirmed) {
      session.ifPresent(s -> s.onConfirmationResult(notConfirmed.requestId(), false));
    } else if (effect instanceof ReplicationEffect.RoleChanged changed) {
      changeRole(changed);
    }
  }

  private void applyCommitted(ReplicationEffect.ApplyCommitted committed) {
    // Internal log entries, such as the no-op at the start of a term, carry no command.
    if (committed.bytes().length == 0) {
      return;
    }
    FleetCommand command = ControlCodec.decode(committed.bytes(), FleetCommand.class);
    state = state.apply(committed.index(), command);
    session.ifPresent(s -> s.onApplied(command, state));
    if (snapshots.recordCommand(committed.bytes().length)) {
      pending.add(
          new ReplicationEvent.SnapshotTaken(nowNanos, committed.index(), state.toSnapshot()));
    }
  }

  private void changeRole(ReplicationEffect.RoleChanged changed) {
    role = changed.role();
    term = changed.term();
    leader = changed.leader().map(MemberId::instance);
    actions.log(
        LogEvent.of("role.changed")
            .with("role", role)
            .with("term", term)
            .with("leader", leader.map(InstanceId::value).orElse("")));
    if (session.isPresent() && role != Role.LEADER_READY) {
      session.get().rejectPending();
      session = Optional.empty();
    } else if (session.isEmpty() && role == Role.LEADER_READY) {
      LeaderSession started =
          new LeaderSession(
              self.instance(),
              term,
              actions,
              settings.ownership(),
              new GroupMembership(
                  settings.wantedVoters(),
                  TimeUnit.MILLISECONDS.toNanos(settings.voterTimeoutMillis()),
                  nowNanos),
              state,
              settings.zones(),
              nowNanos);
      started.setEventTime(nowNanos);
      started.setEntries(subscriptions.entries());
      session = Optional.of(started);
    }
  }

  /** Collects the leader's actions as effects and as events for the replicated log. */
  private final class QueuedActions implements LeaderActions {
    @Override
    public long propose(FleetCommand command) {
      long requestId = nextRequestId++;
      pending.add(new ReplicationEvent.Propose(nowNanos, requestId, ControlCodec.encode(command)));
      return requestId;
    }

    @Override
    public long confirmLeadership() {
      long requestId = nextRequestId++;
      pending.add(new ReplicationEvent.ConfirmLeadership(nowNanos, requestId));
      return requestId;
    }

    @Override
    public void changeMembership(MembershipChange change, MemberId member) {
      pending.add(new ReplicationEvent.ChangeMembership(nowNanos, nextRequestId++, change, member));
    }

    @Override
    public void send(InstanceId to, NodeMessage message) {
      effects.add(new ControlEffect.Send(to, message));
    }

    @Override
    public void callTarget(TargetCall call) {
      effects.add(new ControlEffect.CallTarget(call));
    }

    @Override
    public void answer(long requestId, ControlAnswer answer) {
      effects.add(new ControlEffect.Answer(requestId, answer));
    }

    @Override
    public void log(LogEvent event) {
      effects.add(new ControlEffect.Log(event));
    }
  }
}
