package io.coltsfootwheel.daemon;

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

/**
 * The one reducer over all events of an instance.
 *
 * <p>It forwards each event to the part that decides on it, and delivers messages that the instance
 * sends to itself without a link. It is not safe for use by several threads.
 */
final class InstanceReducer {
  private final InstanceId self;
  private final List<InstanceId> members;
  private final Optional<MemberReducer> member;
  private final Optional<StateFollower> follower;
  private final LeaseClient lease;
  private final RequestReducer requests;
  private final PendingCommands proposals = new PendingCommands();
  private final Deque<ControlMessage> selfMessages = new ArrayDeque<>();
  private ControlState state = ControlState.empty();
  private boolean leaving;
  private boolean shutdownReady;

  InstanceReducer(
      InstanceId self,
      List<InstanceId> members,
      Optional<MemberReducer> member,
      Optional<StateFollower> follower,
      LeaseClient lease,
      RequestReducer requests) {
    this.self = self;
    this.members = List.copyOf(members);
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
    decide(event, effects);
    while (!selfMessages.isEmpty()) {
      receive(event.nowNanos(), self, selfMessages.removeFirst(), effects);
    }
    return effects;
  }

  /**
   * Tells whether this instance may dispatch and admit requests.
   *
   * @param nowNanos monotonic time
   * @return true while the lease holds and the lists are known to be current
   */
  boolean isReady(long nowNanos) {
    return lease.isLeased(nowNanos) && !lease.isStale(nowNanos) && !leaving;
  }

  /**
   * Returns the present state for readiness and metrics.
   *
   * @param nowNanos monotonic time
   * @return the state
   */
  InstanceHealth reading(long nowNanos) {
    return new InstanceHealth(
        isReady(nowNanos),
        lease.isLeased(nowNanos),
        member.filter(MemberReducer::isLeading).isPresent(),
        member.map(MemberReducer::term).orElse(0L));
  }

  /**
   * Returns the member part for reports to operators.
   *
   * @return the part, or empty on an instance without a disk
   */
  Optional<MemberReducer> member() {
    return member;
  }

  /**
   * Returns the leader as far as it is known.
   *
   * @param nowNanos monotonic time
   * @return the leader
   */
  Optional<InstanceId> leader(long nowNanos) {
    return lease.leader(nowNanos).or(() -> member.flatMap(MemberReducer::leader));
  }

  private void decide(InstanceEvent event, List<InstanceEffect> effects) {
    long nowNanos = event.nowNanos();
    if (event instanceof InstanceEvent.Tick) {
      tick(nowNanos, effects);
    } else if (event instanceof InstanceEvent.Replication replication) {
      member.ifPresent(part -> take(nowNanos, part.apply(replication.event()), effects));
    } else if (event instanceof InstanceEvent.Dispatch dispatch) {
      take(nowNanos, requests.apply(dispatch.event()), effects);
    } else if (event instanceof InstanceEvent.Entry entry) {
      take(nowNanos, requests.apply(entry.event()), effects);
    } else if (event instanceof InstanceEvent.MessageReceived received) {
      receive(nowNanos, received.from(), received.message(), effects);
    } else if (event instanceof InstanceEvent.ProposalRequested requested) {
      proposals.add(nowNanos, requested.proposalId(), requested.command());
      take(nowNanos, proposals.due(nowNanos, p -> toLeader(nowNanos, p)), effects);
    } else if (event instanceof InstanceEvent.ReportRequested requested) {
      ControlMessage question = new ControlMessage.ReportRequest(requested.requestId());
      take(nowNanos, toLeader(nowNanos, question), effects);
    } else if (event instanceof InstanceEvent.RemovalRequested requested) {
      ControlMessage removal =
          new ControlMessage.RemoveMember(requested.requestId(), requested.instance());
      take(nowNanos, toLeader(nowNanos, removal), effects);
    } else if (event instanceof InstanceEvent.ShutdownRequested) {
      leaving = true;
      take(nowNanos, requests.apply(new DispatchEvent.ShutdownRequested(nowNanos)), effects);
    }
  }

  private void tick(long nowNanos, List<InstanceEffect> effects) {
    member.ifPresent(part -> take(nowNanos, part.tick(nowNanos), effects));
    follower
        .flatMap(f -> f.subscriptionDue(nowNanos, state.appliedIndex(), lease))
        .ifPresent(effect -> take(nowNanos, List.of(effect), effects));
    if (!leaving) {
      lease
          .registrationDue(nowNanos, state)
          .ifPresent(
              command ->
                  take(
                      nowNanos,
                      toLeader(nowNanos, new ControlMessage.Propose(0, command)),
                      effects));
    }
    take(nowNanos, requests.tick(nowNanos), effects);
    renewWhenDue(nowNanos, effects);
    take(nowNanos, proposals.due(nowNanos, p -> toLeader(nowNanos, p)), effects);
    finishShutdown(nowNanos, effects);
  }

  private void renewWhenDue(long nowNanos, List<InstanceEffect> effects) {
    if (lease.isRenewalDue(nowNanos, state)) {
      Renewal renewal =
          lease.renewal(nowNanos, state.appliedIndex(), leaving, requests.reports(nowNanos));
      take(nowNanos, toLeader(nowNanos, new ControlMessage.Renew(renewal)), effects);
    }
  }

  private void finishShutdown(long nowNanos, List<InstanceEffect> effects) {
    if (leaving && !shutdownReady && (!holdsGrants() || !lease.isLeased(nowNanos))) {
      shutdownReady = true;
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
      acknowledged(nowNanos, from, acked.ack(), effects);
    } else if (message instanceof ControlMessage.Proposed proposed) {
      proposed
          .result()
          .flatMap(result -> proposals.answered(proposed.proposalId(), result))
          .ifPresent(effects::add);
    } else if (message instanceof ControlMessage.ReportAnswer answer) {
      effects.add(new InstanceEffect.AnswerReport(answer.requestId(), answer.report()));
    } else if (message instanceof ControlMessage.RemovalAnswer answer) {
      effects.add(
          new InstanceEffect.AnswerProposal(answer.requestId(), Optional.of(answer.result())));
    } else if (message instanceof ControlMessage.StateDelta delta) {
      follower
          .flatMap(f -> f.apply(nowNanos, state, delta))
          .ifPresent(newer -> publish(nowNanos, newer, effects));
    } else if (message instanceof ControlMessage.StateSnapshot snapshot) {
      follower
          .flatMap(f -> f.install(state, snapshot))
          .ifPresent(newer -> publish(nowNanos, newer, effects));
    } else if (message instanceof ControlMessage.TokensRequested request) {
      take(
          nowNanos,
          requests.apply(
              new EntryEvent.TokensRequested(
                  nowNanos, from, request.customer(), request.tokens(), request.permits())),
          effects);
    } else if (message instanceof ControlMessage.TokensGranted grant) {
      take(
          nowNanos,
          requests.apply(
              new EntryEvent.TokensGranted(
                  nowNanos, grant.customer(), grant.tokens(), grant.permits())),
          effects);
    } else {
      member.ifPresent(part -> take(nowNanos, part.receive(nowNanos, from, message), effects));
    }
  }

  private void acknowledged(
      long nowNanos, InstanceId from, RenewalAck ack, List<InstanceEffect> effects) {
    lease
        .acknowledged(nowNanos, from, ack, state.appliedIndex())
        .ifPresent(until -> extendLease(nowNanos, until, effects));
    if (!lease.isBehind(nowNanos, 0)) {
      take(nowNanos, requests.apply(new EntryEvent.ControlContact(nowNanos)), effects);
    }
  }

  private void extendLease(long nowNanos, long untilNanos, List<InstanceEffect> effects) {
    take(nowNanos, requests.apply(new DispatchEvent.LeaseExtended(nowNanos, untilNanos)), effects);
  }

  private void publish(long nowNanos, ControlState newer, List<InstanceEffect> effects) {
    state = newer;
    effects.add(new InstanceEffect.PublishState(newer));
    if (lease.observe(newer)) {
      requests.beginSession(lease.session());
      effects.add(
          new InstanceEffect.LogChange("session expired, registering as " + lease.session()));
    }
    take(nowNanos, requests.changeView(nowNanos, newer), effects);
  }

  private List<InstanceEffect> toLeader(long nowNanos, ControlMessage message) {
    Optional<InstanceId> leader = leader(nowNanos);
    return leader.map(List::of).orElse(members).stream()
        .map(to -> (InstanceEffect) new InstanceEffect.SendMessage(to, message))
        .toList();
  }

  private void take(long nowNanos, List<InstanceEffect> decided, List<InstanceEffect> effects) {
    for (InstanceEffect effect : decided) {
      if (effect instanceof InstanceEffect.SendMessage send && send.to().equals(self)) {
        selfMessages.addLast(send.message());
      } else if (effect instanceof InstanceEffect.PublishState published) {
        publish(nowNanos, published.state(), effects);
      } else {
        effects.add(effect);
      }
    }
  }
}
