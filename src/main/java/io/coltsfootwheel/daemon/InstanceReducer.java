package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.RenewalAck;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reducer of all events of one instance.
 *
 * <p>It forwards each event to the reducer that decides on it. Messages that the instance sends to
 * itself are applied directly, without a link. Not thread-safe.
 */
final class InstanceReducer {
  /**
   * Time for which a shutdown waits for a lease that has ended, for example because the control
   * leader stops too. Without a lease, the grants cannot be returned, and entries would still
   * forward requests to this instance.
   */
  private static final long LEASE_RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final InstanceId self;
  private final List<InstanceId> controlMembers;
  private final Optional<StateFollower> follower;
  private final LeaseClient lease;
  private final RequestReducer requests;
  private final PendingCommands pendingCommands = new PendingCommands();
  private final Deque<ControlMessage> messagesToSelf = new ArrayDeque<>();
  private Optional<MemberReducer> member;
  private ControlState state = ControlState.empty();
  private boolean shuttingDown;
  private boolean shutdownReported;

  InstanceReducer(
      InstanceId self,
      List<InstanceId> controlMembers,
      Optional<MemberReducer> member,
      Optional<StateFollower> follower,
      LeaseClient lease,
      RequestReducer requests) {
    this.self = self;
    this.controlMembers = List.copyOf(controlMembers);
    this.member = member;
    this.follower = follower;
    this.lease = lease;
    this.requests = requests;
  }

  /**
   * Applies one event.
   *
   * @param event the event
   * @return the effects in the order in which they must be executed
   */
  List<InstanceEffect> apply(InstanceEvent event) {
    List<InstanceEffect> effects = new ArrayList<>();
    handle(event, effects);
    while (!messagesToSelf.isEmpty()) {
      receive(event.nowNanos(), self, messagesToSelf.removeFirst(), effects);
    }
    return effects;
  }

  /**
   * Tells whether this instance may dispatch and admit requests.
   *
   * @param nowNanos monotonic time
   * @return true while the lease holds, the lists are known to be current and no shutdown was
   *     requested
   */
  boolean isReady(long nowNanos) {
    return lease.isLeased(nowNanos) && !lease.isStale(nowNanos) && !shuttingDown;
  }

  /**
   * Returns the state that the readiness endpoint and the metrics show.
   *
   * @param nowNanos monotonic time
   * @return the state
   */
  InstanceHealth health(long nowNanos) {
    return new InstanceHealth(
        isReady(nowNanos),
        lease.isLeased(nowNanos),
        member.filter(MemberReducer::isLeading).isPresent(),
        member.map(MemberReducer::term).orElse(0L));
  }

  /**
   * Returns the reducer of the control member.
   *
   * @return the reducer, or empty on an instance without a disk
   */
  Optional<MemberReducer> member() {
    return member;
  }

  /**
   * Returns the control leader.
   *
   * @param nowNanos monotonic time
   * @return the leader that acknowledged a renewal last or, failing that, the one known to the
   *     control member; empty when neither is known
   */
  Optional<InstanceId> leader(long nowNanos) {
    return lease.leader(nowNanos).or(() -> member.flatMap(MemberReducer::leader));
  }

  private void handle(InstanceEvent event, List<InstanceEffect> effects) {
    long nowNanos = event.nowNanos();
    if (event instanceof InstanceEvent.Tick) {
      tick(nowNanos, effects);
    } else if (event instanceof InstanceEvent.Replication replication) {
      member.ifPresent(
          memberReducer -> addEffects(nowNanos, memberReducer.apply(replication.event()), effects));
      if (replication.event() instanceof ReplicationEvent.PersistFailed) {
        effects.add(new InstanceEffect.ReopenJournal());
      }
    } else if (event instanceof InstanceEvent.MemberReopened reopened) {
      member = Optional.of(reopened.member());
    } else if (event instanceof InstanceEvent.Dispatch dispatch) {
      addEffects(nowNanos, requests.apply(dispatch.event()), effects);
    } else if (event instanceof InstanceEvent.Entry entry) {
      addEffects(nowNanos, requests.apply(entry.event()), effects);
    } else if (event instanceof InstanceEvent.MessageReceived received) {
      receive(nowNanos, received.from(), received.message(), effects);
    } else if (event instanceof InstanceEvent.ProposalRequested requested) {
      pendingCommands.add(nowNanos, requested.proposalId(), requested.command());
      addEffects(
          nowNanos,
          pendingCommands.advance(nowNanos, proposal -> messagesToLeader(nowNanos, proposal)),
          effects);
    } else if (event instanceof InstanceEvent.ReportRequested requested) {
      ControlMessage reportRequest = new ControlMessage.ReportRequest(requested.requestId());
      addEffects(nowNanos, messagesToLeader(nowNanos, reportRequest), effects);
    } else if (event instanceof InstanceEvent.RemovalRequested requested) {
      ControlMessage removal =
          new ControlMessage.RemoveMember(requested.requestId(), requested.instance());
      addEffects(nowNanos, messagesToLeader(nowNanos, removal), effects);
    } else if (event instanceof InstanceEvent.ShutdownRequested) {
      shuttingDown = true;
      addEffects(nowNanos, requests.apply(new DispatchEvent.ShutdownRequested(nowNanos)), effects);
    }
  }

  private void tick(long nowNanos, List<InstanceEffect> effects) {
    member.ifPresent(memberReducer -> addEffects(nowNanos, memberReducer.tick(nowNanos), effects));
    follower
        .flatMap(
            stateFollower -> stateFollower.subscriptionIfDue(nowNanos, state.appliedIndex(), lease))
        .ifPresent(effect -> addEffects(nowNanos, List.of(effect), effects));
    if (!shuttingDown) {
      lease
          .registrationIfDue(nowNanos, state)
          .ifPresent(
              command ->
                  addEffects(
                      nowNanos,
                      messagesToLeader(nowNanos, new ControlMessage.Propose(0, command)),
                      effects));
    }
    addEffects(nowNanos, requests.tick(nowNanos), effects);
    renewIfDue(nowNanos, effects);
    addEffects(
        nowNanos,
        pendingCommands.advance(nowNanos, proposal -> messagesToLeader(nowNanos, proposal)),
        effects);
    reportShutdownIfReady(nowNanos, effects);
  }

  private void renewIfDue(long nowNanos, List<InstanceEffect> effects) {
    if (lease.beginRenewalIfDue(nowNanos, state)) {
      Renewal renewal =
          lease.renewal(nowNanos, state.appliedIndex(), shuttingDown, requests.reports(nowNanos));
      addEffects(nowNanos, messagesToLeader(nowNanos, new ControlMessage.Renew(renewal)), effects);
    }
  }

  private void reportShutdownIfReady(long nowNanos, List<InstanceEffect> effects) {
    boolean withoutGrants = !holdsGrants() || lease.hasEndedBefore(nowNanos, LEASE_RECOVERY_NANOS);
    if (shuttingDown && !shutdownReported && withoutGrants && requests.isIdle()) {
      shutdownReported = true;
      effects.add(new InstanceEffect.ShutdownReady());
    }
  }

  private boolean holdsGrants() {
    return state.services().stream()
        .flatMap(service -> state.targetsOf(service.name()).stream())
        .map(TargetEntry::grant)
        .flatMap(Optional::stream)
        .anyMatch(this::isOwnGrant);
  }

  private boolean isOwnGrant(DispatchGrant grant) {
    return grant.holder().equals(self) && grant.session().equals(lease.session());
  }

  private void receive(
      long nowNanos, InstanceId from, ControlMessage message, List<InstanceEffect> effects) {
    if (message instanceof ControlMessage.RenewAck acked) {
      handleRenewalAck(nowNanos, from, acked.ack(), effects);
    } else if (message instanceof ControlMessage.Proposed proposed) {
      proposed
          .result()
          .flatMap(result -> pendingCommands.complete(proposed.proposalId(), result))
          .ifPresent(effects::add);
    } else if (message instanceof ControlMessage.ReportAnswer answer) {
      effects.add(new InstanceEffect.AnswerReport(answer.requestId(), answer.report()));
    } else if (message instanceof ControlMessage.RemovalAnswer answer) {
      effects.add(
          new InstanceEffect.AnswerProposal(answer.requestId(), Optional.of(answer.result())));
    } else if (message instanceof ControlMessage.StateDelta delta) {
      follower
          .flatMap(stateFollower -> stateFollower.apply(nowNanos, state, delta))
          .ifPresent(newState -> publish(nowNanos, newState, effects));
    } else if (message instanceof ControlMessage.StateSnapshot snapshot) {
      follower
          .flatMap(stateFollower -> stateFollower.install(state, snapshot))
          .ifPresent(newState -> publish(nowNanos, newState, effects));
    } else if (message instanceof ControlMessage.TokensRequested request) {
      addEffects(
          nowNanos,
          requests.apply(
              new EntryEvent.TokensRequested(
                  nowNanos, from, request.customer(), request.tokens(), request.permits())),
          effects);
    } else if (message instanceof ControlMessage.TokensGranted grant) {
      addEffects(
          nowNanos,
          requests.apply(
              new EntryEvent.TokensGranted(
                  nowNanos, grant.customer(), grant.tokens(), grant.permits())),
          effects);
    } else {
      member.ifPresent(
          memberReducer ->
              addEffects(nowNanos, memberReducer.receive(nowNanos, from, message), effects));
    }
  }

  private void handleRenewalAck(
      long nowNanos, InstanceId from, RenewalAck ack, List<InstanceEffect> effects) {
    long upToDateBeforeNanos = lease.lastUpToDateNanos();
    lease
        .handleAck(nowNanos, from, ack, state.appliedIndex())
        .ifPresent(endNanos -> extendLease(nowNanos, endNanos, effects));
    long upToDateNanos = lease.lastUpToDateNanos();
    if (upToDateNanos != upToDateBeforeNanos) {
      addEffects(
          nowNanos,
          requests.apply(new EntryEvent.ControlContact(nowNanos, upToDateNanos)),
          effects);
    }
  }

  private void extendLease(long nowNanos, long untilNanos, List<InstanceEffect> effects) {
    addEffects(
        nowNanos, requests.apply(new DispatchEvent.LeaseExtended(nowNanos, untilNanos)), effects);
  }

  /** Publishes a state unless it is older: a member that reopens its journal starts behind. */
  private void publish(long nowNanos, ControlState newState, List<InstanceEffect> effects) {
    if (newState.appliedIndex() < state.appliedIndex()) {
      return;
    }
    state = newState;
    effects.add(new InstanceEffect.PublishState(newState));
    if (lease.restartSessionIfExpired(newState)) {
      requests.beginSession(lease.session());
      effects.add(
          new InstanceEffect.LogChange("session expired, registering as " + lease.session()));
    }
    addEffects(nowNanos, requests.applyState(nowNanos, newState), effects);
  }

  private List<InstanceEffect> messagesToLeader(long nowNanos, ControlMessage message) {
    Optional<InstanceId> leader = leader(nowNanos);
    return leader.map(List::of).orElse(controlMembers).stream()
        .map(to -> (InstanceEffect) new InstanceEffect.SendMessage(to, message))
        .toList();
  }

  private void addEffects(
      long nowNanos, List<InstanceEffect> decisions, List<InstanceEffect> effects) {
    for (InstanceEffect effect : decisions) {
      if (effect instanceof InstanceEffect.SendMessage send && send.to().equals(self)) {
        messagesToSelf.addLast(send.message());
      } else if (effect instanceof InstanceEffect.PublishState published) {
        publish(nowNanos, published.state(), effects);
      } else {
        effects.add(effect);
      }
    }
  }
}
