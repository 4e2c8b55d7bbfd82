package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.Role;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Part of a control member: the replicated log, the state that it yields, and on the leader the
 * supervisor.
 */
final class MemberReducer {
  static final int COMMANDS_BETWEEN_SNAPSHOTS = 4_096;

  private final MemberId self;
  private final ReplicationReducer replication;
  private final Supervisor supervisor;
  private final List<ServiceSpec> services;
  private final int commandsBetweenSnapshots;
  private final MemberChanges changes;
  private final CommandSubscribers subscribers = new CommandSubscribers();
  private final ProposalOrigins origins = new ProposalOrigins();
  private final RenewalBatches renewals = new RenewalBatches();
  private final Map<InstanceId, Renewal> lastRenewals = new TreeMap<>();
  private ControlState state = ControlState.empty();
  private Role role = Role.FOLLOWER;
  private long term;
  private Optional<InstanceId> leader = Optional.empty();
  private long nextNumber = 1;
  private int commandsSinceSnapshot;

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
    this.commandsBetweenSnapshots = commandsBetweenSnapshots;
    this.changes = new MemberChanges(controlMembers);
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
   * Applies an event of the replicated log.
   *
   * @param event the event
   * @return the effects
   */
  List<InstanceEffect> apply(ReplicationEvent event) {
    List<InstanceEffect> effects = new ArrayList<>();
    run(event, effects);
    return effects;
  }

  /**
   * Advances the log and the supervisor.
   *
   * @param nowNanos monotonic time
   * @return the effects
   */
  List<InstanceEffect> tick(long nowNanos) {
    List<InstanceEffect> effects = new ArrayList<>();
    run(new ReplicationEvent.Tick(nowNanos), effects);
    if (isLeading()) {
      supervise(nowNanos, new SupervisorEvent.Tick(nowNanos), effects);
      confirmRenewals(nowNanos, effects);
      changes
          .due(nowNanos, replication.progress())
          .ifPresent(step -> changeMembership(nowNanos, step, effects));
    } else if (replication.configuration().isEmpty()) {
      effects.addAll(changes.joinDue(nowNanos, self));
    }
    return effects;
  }

  /**
   * Takes a message of another member or instance.
   *
   * @param nowNanos monotonic time
   * @param from the sender
   * @param message the message
   * @return the effects
   */
  List<InstanceEffect> receive(long nowNanos, InstanceId from, ControlMessage message) {
    List<InstanceEffect> effects = new ArrayList<>();
    if (message instanceof ControlMessage.Replication replicated) {
      receiveReplication(nowNanos, from, replicated, effects);
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
      changes.joining(nowNanos, new MemberId(from, join.diskId()));
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
    Optional<InstanceEffect> refusal = changes.refuse(from, removal, group);
    refusal.ifPresent(effects::add);
    if (refusal.isEmpty()) {
      for (MemberChanges.Step step : MemberChanges.removals(removal.instance(), group)) {
        changes.begun(nextNumber, from, removal);
        changeMembership(nowNanos, step, effects);
      }
    }
  }

  private void changeMembership(
      long nowNanos, MemberChanges.Step step, List<InstanceEffect> effects) {
    long number = nextNumber++;
    run(
        new ReplicationEvent.ChangeMembership(nowNanos, number, step.change(), step.member()),
        effects);
  }

  private LeaderReport report() {
    List<Renewal> present =
        lastRenewals.values().stream()
            .filter(r -> state.instance(r.instance()).filter(i -> isSameSession(i, r)).isPresent())
            .toList();
    return new LeaderReport(
        self.instance(), term, state.appliedIndex(), present, replication.progress());
  }

  private static boolean isSameSession(InstanceSpec instance, Renewal renewal) {
    return instance.session().equals(renewal.session());
  }

  private void receiveReplication(
      long nowNanos,
      InstanceId from,
      ControlMessage.Replication replicated,
      List<InstanceEffect> effects) {
    // A message for a lost disk is taken too: its answer tells the sender the present identity.
    MemberId member = new MemberId(from, replicated.fromDisk());
    run(new ReplicationEvent.MessageReceived(nowNanos, member, replicated.message()), effects);
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
      origins.proposedBy(number, from, propose.proposalId());
      propose(nowNanos, number, propose.command(), effects);
    }
  }

  private void proposeForSupervisor(long nowNanos, Command command, List<InstanceEffect> effects) {
    propose(nowNanos, nextNumber++, command, effects);
  }

  private void propose(long nowNanos, long number, Command command, List<InstanceEffect> effects) {
    run(new ReplicationEvent.Propose(nowNanos, number, ControlCodec.encode(command)), effects);
  }

  private void supervise(long nowNanos, SupervisorEvent event, List<InstanceEffect> effects) {
    for (SupervisorEffect effect : supervisor.apply(event)) {
      if (effect instanceof SupervisorEffect.ProposeCommand proposal) {
        proposeForSupervisor(nowNanos, proposal.command(), effects);
      } else if (effect instanceof SupervisorEffect.AllowRenewal allowed) {
        renewals.add(allowed.renewal());
        lastRenewals.put(allowed.renewal().instance(), allowed.renewal());
      }
    }
  }

  private void confirmRenewals(long nowNanos, List<InstanceEffect> effects) {
    if (renewals.isRoundDue(nowNanos)) {
      long request = nextNumber++;
      renewals.startRound(nowNanos, request);
      run(new ReplicationEvent.ConfirmLeadership(nowNanos, request), effects);
    }
  }

  private void run(ReplicationEvent event, List<InstanceEffect> effects) {
    long nowNanos = event.nowNanos();
    for (ReplicationEffect effect : replication.apply(event)) {
      execute(nowNanos, effect, effects);
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
      // Entries of the log itself, such as the no-op of a new term, carry no command.
      if (committed.bytes().length > 0) {
        applyCommitted(nowNanos, committed, effects);
      }
    } else if (effect instanceof ReplicationEffect.InstallSnapshot snapshot) {
      install(nowNanos, snapshot, effects);
    } else if (effect instanceof ReplicationEffect.ProposalCommitted committed) {
      changes.committed(committed).ifPresent(effects::add);
      origins.committed(committed.proposalId(), committed.index()).ifPresent(effects::add);
    } else if (effect instanceof ReplicationEffect.ProposalRejected rejected) {
      origins.rejected(rejected.proposalId());
      changes.rejected(rejected).ifPresent(effects::add);
    } else if (effect instanceof ReplicationEffect.LeadershipConfirmed confirmed) {
      renewals.end(confirmed.requestId()).forEach(renewal -> acknowledge(renewal, effects));
    } else if (effect instanceof ReplicationEffect.LeadershipNotConfirmed refused) {
      renewals.end(refused.requestId());
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
      origins.applied(committed.index(), applied.result()).ifPresent(effects::add);
      supervise(nowNanos, new SupervisorEvent.StateApplied(nowNanos, state), effects);
    }
    takeSnapshotWhenDue(nowNanos, committed.index(), effects);
  }

  private void takeSnapshotWhenDue(long nowNanos, long index, List<InstanceEffect> effects) {
    commandsSinceSnapshot++;
    if (commandsSinceSnapshot >= commandsBetweenSnapshots) {
      commandsSinceSnapshot = 0;
      run(new ReplicationEvent.SnapshotTaken(nowNanos, index, state.toSnapshot()), effects);
    }
  }

  private void install(
      long nowNanos, ReplicationEffect.InstallSnapshot snapshot, List<InstanceEffect> effects) {
    state = ControlState.fromSnapshot(snapshot.bytes());
    subscribers.reset();
    commandsSinceSnapshot = 0;
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
    origins.clear();
    changes.clear();
    renewals.clear();
    lastRenewals.clear();
  }
}
