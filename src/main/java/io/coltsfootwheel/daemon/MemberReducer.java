package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.consensus.SnapshotSchedule;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.control.SupervisorEffect;
import io.coltsfootwheel.control.SupervisorEvent;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.RenewalAck;
import io.coltsfootwheel.model.ServiceSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reducer of a control member: the replicated log, the control state that its commands produce and,
 * on the leader, the supervisor, the membership changes and the lease renewals.
 */
final class MemberReducer {
  static final int COMMANDS_BETWEEN_SNAPSHOTS = 4_096;

  private final MemberId self;
  private final ReplicationReducer replication;
  private final Supervisor supervisor;
  private final List<ServiceSpec> services;
  private final SnapshotSchedule snapshots;
  private final MemberChanges memberChanges;

  /** Events of the log that are not processed to the end, the one in progress first. */
  private final Deque<ReplicationEvent> pendingLogEvents = new ArrayDeque<>();

  private final CommandSubscribers subscribers = new CommandSubscribers();
  private final ProposalOrigins proposalOrigins = new ProposalOrigins();
  private final RenewalBatches renewalBatches = new RenewalBatches();
  private final Map<InstanceId, Renewal> lastRenewals = new TreeMap<>();
  private ControlState state = ControlState.empty();
  private Role role = Role.FOLLOWER;
  private long term;
  private Optional<InstanceId> leader = Optional.empty();

  /** Number of the next proposal or leadership confirmation, unique at this member. */
  private long nextNumber = 1;

  MemberReducer(
      MemberId self,
      ReplicationReducer replication,
      Supervisor supervisor,
      List<ServiceSpec> services,
      List<InstanceId> controlMembers,
      int commandsBetweenSnapshots) {
    this.self = self;
    this.replication = replication;
    this.supervisor = supervisor;
    this.services = List.copyOf(services);
    this.snapshots =
        new SnapshotSchedule(commandsBetweenSnapshots, SnapshotSchedule.MAX_COMMAND_BYTES);
    this.memberChanges = new MemberChanges(controlMembers);
  }

  ControlState state() {
    return state;
  }

  boolean isLeading() {
    return role == Role.LEADER_READY;
  }

  Optional<InstanceId> leader() {
    return leader;
  }

  long term() {
    return term;
  }

  Role role() {
    return role;
  }

  /**
   * Applies an event of the journal or of another member to the replicated log.
   *
   * @param event the event
   * @return the effects
   */
  List<InstanceEffect> apply(ReplicationEvent event) {
    List<InstanceEffect> effects = new ArrayList<>();
    applyToLog(event, effects);
    return effects;
  }

  /**
   * Checks the timers of the log and, on the leader, of the supervisor, of lease renewals and of
   * membership changes.
   *
   * @param nowNanos monotonic time
   * @return the effects
   */
  List<InstanceEffect> tick(long nowNanos) {
    List<InstanceEffect> effects = new ArrayList<>();
    applyToLog(new ReplicationEvent.Tick(nowNanos), effects);
    if (isLeading()) {
      supervise(nowNanos, new SupervisorEvent.Tick(nowNanos), effects);
      confirmRenewals(nowNanos, effects);
      memberChanges
          .nextStep(nowNanos, replication.progress())
          .ifPresent(step -> changeMembership(nowNanos, step, effects));
    } else if (replication.configuration().isEmpty()) {
      effects.addAll(memberChanges.joinRequestsIfDue(nowNanos, self));
    }
    return effects;
  }

  /**
   * Handles a control message; those for the leader are ignored on any other member.
   *
   * @param nowNanos monotonic time
   * @param from the sender
   * @param message the message
   * @return the effects
   */
  List<InstanceEffect> receive(long nowNanos, InstanceId from, ControlMessage message) {
    List<InstanceEffect> effects = new ArrayList<>();
    if (message instanceof ControlMessage.Replication replicationMessage) {
      receiveReplication(nowNanos, from, replicationMessage, effects);
    } else if (message instanceof ControlMessage.Renew renew) {
      renew(nowNanos, renew.renewal(), effects);
    } else if (message instanceof ControlMessage.Propose propose) {
      propose(nowNanos, from, propose, effects);
    } else if (message instanceof ControlMessage.Subscribe subscribe) {
      effects.add(new InstanceEffect.AddPeer(from, subscribe.linkAddress()));
      effects.addAll(subscribers.subscribe(nowNanos, from, subscribe.appliedIndex(), state));
    } else if (message instanceof ControlMessage.ReportRequest request && isLeading()) {
      ControlMessage answer = new ControlMessage.ReportAnswer(request.requestId(), report());
      effects.add(new InstanceEffect.SendMessage(from, answer));
    } else if (message instanceof ControlMessage.Join join && isLeading()) {
      memberChanges.recordJoinRequest(nowNanos, new MemberId(from, join.diskId()));
    } else if (message instanceof ControlMessage.RemoveMember removal && isLeading()) {
      removeMember(nowNanos, from, removal, effects);
    }
    return effects;
  }

  private void removeMember(
      long nowNanos,
      InstanceId from,
      ControlMessage.RemoveMember removal,
      List<InstanceEffect> effects) {
    List<MemberProgress> group = replication.progress();
    Optional<InstanceEffect> refusal = memberChanges.refuseRemoval(from, removal, group);
    refusal.ifPresent(effects::add);
    if (refusal.isEmpty()) {
      for (MemberChanges.Step step : MemberChanges.removals(removal.instance(), group)) {
        memberChanges.recordRemoval(nextNumber, from, removal);
        changeMembership(nowNanos, step, effects);
      }
    }
  }

  private void changeMembership(
      long nowNanos, MemberChanges.Step step, List<InstanceEffect> effects) {
    long number = nextNumber++;
    applyToLog(
        new ReplicationEvent.ChangeMembership(nowNanos, number, step.change(), step.member()),
        effects);
  }

  private LeaderReport report() {
    List<Renewal> renewalsOfSessions =
        lastRenewals.values().stream()
            .filter(
                renewal ->
                    state
                        .instance(renewal.instance())
                        .filter(instance -> isSameSession(instance, renewal))
                        .isPresent())
            .toList();
    return new LeaderReport(
        self.instance(), term, state.appliedIndex(), renewalsOfSessions, replication.progress());
  }

  private static boolean isSameSession(InstanceSpec instance, Renewal renewal) {
    return instance.session().equals(renewal.session());
  }

  private void receiveReplication(
      long nowNanos,
      InstanceId from,
      ControlMessage.Replication replicationMessage,
      List<InstanceEffect> effects) {
    // A message for a lost disk is accepted too: the answer carries the current disk identity.
    MemberId member = new MemberId(from, replicationMessage.fromDisk());
    applyToLog(
        new ReplicationEvent.MessageReceived(nowNanos, member, replicationMessage.message()),
        effects);
  }

  private void renew(long nowNanos, Renewal renewal, List<InstanceEffect> effects) {
    if (isLeading()) {
      supervise(nowNanos, new SupervisorEvent.RenewalReceived(nowNanos, renewal), effects);
    }
  }

  private void propose(
      long nowNanos,
      InstanceId from,
      ControlMessage.Propose propose,
      List<InstanceEffect> effects) {
    if (isLeading()) {
      long number = nextNumber++;
      proposalOrigins.recordOrigin(number, from, propose.proposalId());
      propose(nowNanos, number, propose.command(), effects);
    }
  }

  private void proposeForSupervisor(long nowNanos, Command command, List<InstanceEffect> effects) {
    propose(nowNanos, nextNumber++, command, effects);
  }

  private void propose(long nowNanos, long number, Command command, List<InstanceEffect> effects) {
    applyToLog(
        new ReplicationEvent.Propose(nowNanos, number, ControlCodec.encode(command)), effects);
  }

  private void supervise(long nowNanos, SupervisorEvent event, List<InstanceEffect> effects) {
    for (SupervisorEffect effect : supervisor.apply(event)) {
      if (effect instanceof SupervisorEffect.ProposeCommand proposal) {
        proposeForSupervisor(nowNanos, proposal.command(), effects);
      } else if (effect instanceof SupervisorEffect.AllowRenewal allowed) {
        renewalBatches.add(allowed.renewal());
        lastRenewals.put(allowed.renewal().instance(), allowed.renewal());
      }
    }
  }

  private void confirmRenewals(long nowNanos, List<InstanceEffect> effects) {
    if (renewalBatches.isRoundDue(nowNanos)) {
      long request = nextNumber++;
      renewalBatches.startRound(nowNanos, request);
      applyToLog(new ReplicationEvent.ConfirmLeadership(nowNanos, request), effects);
    }
  }

  /**
   * Applies an event to the log, after those that wait. An event that an effect causes waits until
   * the effects before it are executed: the journal is written in the order of the log.
   */
  private void applyToLog(ReplicationEvent event, List<InstanceEffect> effects) {
    pendingLogEvents.add(event);
    if (pendingLogEvents.size() > 1) {
      return;
    }
    while (!pendingLogEvents.isEmpty()) {
      ReplicationEvent next = pendingLogEvents.peek();
      for (ReplicationEffect effect : replication.apply(next)) {
        execute(next.nowNanos(), effect, effects);
      }
      pendingLogEvents.remove();
    }
  }

  private void execute(long nowNanos, ReplicationEffect effect, List<InstanceEffect> effects) {
    if (effect instanceof ReplicationEffect.Send send) {
      effects.add(
          new InstanceEffect.SendMessage(
              send.to().instance(),
              new ControlMessage.Replication(self.diskId(), send.to().diskId(), send.message())));
    } else if (effect instanceof ReplicationEffect.Persist persist) {
      effects.add(new InstanceEffect.Persist(persist));
    } else if (effect instanceof ReplicationEffect.PersistSnapshot persist) {
      effects.add(new InstanceEffect.PersistSnapshot(persist));
    } else if (effect instanceof ReplicationEffect.ApplyCommitted committed) {
      // Entries that the log appends itself, such as the no-op of a new term, contain no command.
      if (committed.bytes().length > 0) {
        applyCommitted(nowNanos, committed, effects);
      }
    } else if (effect instanceof ReplicationEffect.InstallSnapshot snapshot) {
      installSnapshot(nowNanos, snapshot, effects);
    } else if (effect instanceof ReplicationEffect.ProposalCommitted committed) {
      memberChanges.removalCommitted(committed).ifPresent(effects::add);
      proposalOrigins
          .recordCommit(committed.proposalId(), committed.index())
          .ifPresent(effects::add);
    } else if (effect instanceof ReplicationEffect.ProposalRejected rejected) {
      proposalOrigins.removeRejected(rejected.proposalId());
      memberChanges.removalRejected(rejected).ifPresent(effects::add);
    } else if (effect instanceof ReplicationEffect.LeadershipConfirmed confirmed) {
      renewalBatches
          .takeBatch(confirmed.requestId())
          .forEach(renewal -> acknowledge(renewal, effects));
    } else if (effect instanceof ReplicationEffect.LeadershipNotConfirmed refused) {
      renewalBatches.takeBatch(refused.requestId());
    } else if (effect instanceof ReplicationEffect.RoleChanged changed) {
      changeRole(nowNanos, changed, effects);
    }
  }

  private void applyCommitted(
      long nowNanos, ReplicationEffect.ApplyCommitted committed, List<InstanceEffect> effects) {
    long previousIndex = state.appliedIndex();
    Command command = ControlCodec.decode(committed.bytes(), Command.class);
    ControlState.Applied applied = state.apply(committed.index(), command);
    state = applied.state();
    effects.add(new InstanceEffect.PublishState(state));
    effects.addAll(
        subscribers.publish(
            nowNanos,
            new ControlMessage.StateDelta(previousIndex, committed.index(), committed.bytes())));
    if (isLeading()) {
      proposalOrigins.recordResult(committed.index(), applied.result()).ifPresent(effects::add);
      supervise(nowNanos, new SupervisorEvent.StateApplied(nowNanos, state), effects);
    }
    if (snapshots.recordCommand(committed.bytes().length)) {
      applyToLog(
          new ReplicationEvent.SnapshotTaken(nowNanos, committed.index(), state.toSnapshot()),
          effects);
    }
  }

  private void installSnapshot(
      long nowNanos, ReplicationEffect.InstallSnapshot snapshot, List<InstanceEffect> effects) {
    state = ControlState.fromSnapshot(snapshot.bytes());
    subscribers.clearRetained();
    snapshots.reset();
    effects.add(new InstanceEffect.PublishState(state));
  }

  private void acknowledge(Renewal renewal, List<InstanceEffect> effects) {
    RenewalAck ack =
        new RenewalAck(
            renewal.instance(),
            renewal.session(),
            renewal.sentNanos(),
            ControlTiming.LEASE_MILLIS,
            state.appliedIndex());
    effects.add(
        new InstanceEffect.SendMessage(renewal.instance(), new ControlMessage.RenewAck(ack)));
  }

  private void changeRole(
      long nowNanos, ReplicationEffect.RoleChanged changed, List<InstanceEffect> effects) {
    boolean wasLeading = isLeading();
    role = changed.role();
    term = changed.term();
    leader = changed.leader().map(MemberId::instance);
    effects.add(
        new InstanceEffect.LogChange(
            "role="
                + role
                + " term="
                + term
                + " leader="
                + leader.map(Object::toString).orElse("none")));
    if (!wasLeading && isLeading()) {
      gainLeadership(nowNanos, effects);
    } else if (wasLeading && !isLeading()) {
      loseLeadership(nowNanos, effects);
    }
  }

  private void gainLeadership(long nowNanos, List<InstanceEffect> effects) {
    supervise(nowNanos, new SupervisorEvent.LeadershipGained(nowNanos, state), effects);
    for (ServiceSpec service : services) {
      if (state.service(service.name()).isEmpty()) {
        proposeForSupervisor(nowNanos, new Command.RegisterService(service), effects);
      }
    }
  }

  private void loseLeadership(long nowNanos, List<InstanceEffect> effects) {
    supervise(nowNanos, new SupervisorEvent.LeadershipLost(), effects);
    proposalOrigins.clear();
    memberChanges.clear();
    renewalBatches.clear();
    lastRenewals.clear();
  }
}
