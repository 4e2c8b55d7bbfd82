package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipLeader;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.RangeMove;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetLeave;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.keyspace.WarmupChange;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Leader's work during one term: answers to targets, operators and entries.
 *
 * <p>A change is accepted, a lease renewed or a configuration returned only after a command of this
 * term was committed, or after a quorum round that began after the call arrived. A deposed leader
 * can therefore do none of these.
 */
final class LeaderSession {
  private static final long MAX_CONFIRMATION_NANOS =
      TimeUnit.MILLISECONDS.toNanos(GrantMethod.MAX_CONFIRMATION_MILLIS);

  private final InstanceId self;
  private final long term;
  private final LeaderActions actions;
  private final OwnershipLeader ownership;
  private final GroupMembership membership;
  private final EntryUpdates entryUpdates;
  private final EvacuationOrders evacuationOrders;
  private final LeadershipConfirmations confirmations = new LeadershipConfirmations();
  private final Map<Long, Consumer<Boolean>> proposals = new HashMap<>();
  private final Deque<PendingChange> queuedChanges = new ArrayDeque<>();
  private boolean isChangeProposed;
  private boolean isTargetCallRoundPending;
  private FleetState state;
  private List<MemberProgress> groupProgress = List.of();

  /** Time of the current event; callbacks of confirmations and proposals read it. */
  private long eventNanos;

  private record PendingChange(long requestId, ConfigurationChange change) {}

  LeaderSession(
      InstanceId self,
      long term,
      LeaderActions actions,
      OwnershipSettings settings,
      GroupMembership membership,
      FleetState state,
      Set<AvailabilityZone> zones,
      long nowNanos) {
    this.self = self;
    this.term = term;
    this.actions = actions;
    this.state = state;
    this.ownership = new OwnershipLeader(settings, state, nowNanos);
    this.entryUpdates = new EntryUpdates(nowNanos, term, actions, ownership.view(nowNanos));
    this.membership = membership;
    this.evacuationOrders = new EvacuationOrders(zones, actions, this::propose, () -> this.state);
  }

  void report(long nowNanos, long requestId, HeartbeatReport report) {
    TargetRecord target = report.target();
    OwnershipLeader.ReportOutcome reportOutcome = ownership.report(nowNanos, report);
    if (reportOutcome.verdict() == OwnershipLeader.ReportVerdict.OUTDATED) {
      actions.log(
          LogEvent.of("report.outdated")
              .with("target", target.id())
              .with("sequence", report.sequence()));
      actions.answer(requestId, new ControlAnswer.Acknowledged(Optional.empty(), self));
      return;
    }
    if (reportOutcome.verdict() == OwnershipLeader.ReportVerdict.TOO_MANY_UNCONFIGURED) {
      actions.answer(
          requestId,
          new ControlAnswer.Unavailable("too many targets of services that are not configured"));
      return;
    }
    Consumer<Boolean> answer = confirmed -> answerReport(confirmed, requestId, target);
    boolean awaitsCommand = reportOutcome.waitsForFirstCommand();
    for (FleetCommand command : reportOutcome.commands()) {
      propose(command, awaitsCommand ? answer : committed -> {});
      awaitsCommand = false;
    }
    if (!reportOutcome.waitsForFirstCommand()) {
      confirmations.add(answer);
    }
  }

  private void answerReport(boolean confirmed, long requestId, TargetRecord target) {
    if (!confirmed) {
      actions.answer(
          requestId,
          new ControlAnswer.Unavailable("no quorum confirmed the leadership of this process"));
      return;
    }
    Optional<LeaseGrant> grant =
        ownership.grant(eventNanos, target.id(), target.incarnationMillis());
    ownership.takeStartedMoves().forEach(this::logMove);
    actions.answer(requestId, new ControlAnswer.Acknowledged(grant, self));
  }

  void setEventTime(long nowNanos) {
    eventNanos = nowNanos;
  }

  void leave(long requestId, TargetLeave leave) {
    Consumer<Boolean> answer =
        committed ->
            actions.answer(
                requestId,
                committed
                    ? new ControlAnswer.Accepted()
                    : new ControlAnswer.Unavailable("the removal of the target was not committed"));
    Optional<FleetCommand> command = ownership.leave(leave);
    if (command.isPresent()) {
      propose(command.get(), answer);
    } else {
      confirmations.add(answer);
    }
  }

  void change(long requestId, ConfigurationChange change) {
    confirmations.add(
        confirmed -> {
          if (confirmed) {
            queuedChanges.add(new PendingChange(requestId, change));
            evaluateQueuedChanges();
          } else {
            actions.answer(
                requestId,
                new ControlAnswer.Unavailable(
                    "no quorum confirmed the leadership of this process"));
          }
        });
  }

  void evacuate(long requestId, FleetCommand.SetZoneEvacuation order) {
    confirmations.add(
        confirmed -> {
          if (confirmed) {
            evacuationOrders.add(requestId, order);
          } else {
            actions.answer(
                requestId,
                new ControlAnswer.Unavailable(
                    "no quorum confirmed the leadership of this process"));
          }
        });
  }

  void read(long requestId) {
    confirmations.add(
        confirmed ->
            actions.answer(
                requestId,
                confirmed
                    ? new ControlAnswer.Current(state.configuration())
                    : new ControlAnswer.Unavailable(
                        "no quorum confirmed the leadership of this process")));
  }

  /** Evaluates the queued changes one at a time, each against the result of the previous ones. */
  private void evaluateQueuedChanges() {
    while (!isChangeProposed && !queuedChanges.isEmpty()) {
      PendingChange next = queuedChanges.poll();
      ChangeOutcome outcome = state.configuration().evaluate(next.change());
      actions.log(
          LogEvent.of("configuration.judged")
              .with("version", next.change().version())
              .with("base", next.change().baseVersion())
              .with("current", state.configuration().version())
              .with("outcome", outcome.getClass().getSimpleName()));
      if (outcome instanceof ChangeOutcome.Applicable) {
        isChangeProposed = true;
        propose(
            new FleetCommand.ChangeConfiguration(next.change()),
            committed -> finishChange(next.requestId(), committed));
      } else if (outcome instanceof ChangeOutcome.Conflict conflict) {
        actions.answer(next.requestId(), new ControlAnswer.Conflict(conflict.currentVersion()));
      } else if (outcome instanceof ChangeOutcome.Invalid invalid) {
        actions.answer(next.requestId(), new ControlAnswer.Invalid(invalid.reason()));
      } else {
        actions.answer(next.requestId(), new ControlAnswer.Accepted());
      }
    }
  }

  private void finishChange(long requestId, boolean committed) {
    isChangeProposed = false;
    actions.answer(
        requestId,
        committed
            ? new ControlAnswer.Accepted()
            : new ControlAnswer.Unavailable("the outcome of the change is unknown"));
    evaluateQueuedChanges();
  }

  private void recordLoad(long nowNanos, InstanceId from, LoadReport load) {
    LoadReport valid = load.withValidCounts();
    if (!valid.equals(load)) {
      actions.log(LogEvent.of("load.report.invalid").with("entry", from));
    }
    ownership.recordLoad(nowNanos, from, valid);
  }

  void subscribe(long nowNanos, InstanceId from, NodeMessage.Subscribe subscribe) {
    recordLoad(nowNanos, from, subscribe.load());
    Map<TargetId, PermitGrant> permits =
        ownership.takePermits(nowNanos, from, subscribe.load().permitRequests());
    confirmations.add(
        confirmed -> {
          if (confirmed) {
            entryUpdates.subscriptionConfirmed(from, subscribe.sentNanos());
            sendPermits(from, new NodeMessage.Permits(subscribe.sentNanos(), permits));
          }
        });
    entryUpdates.subscribe(nowNanos, from, subscribe, groupFacts());
  }

  private void sendPermits(InstanceId to, NodeMessage.Permits permits) {
    if (!permits.byTarget().isEmpty()) {
      entryUpdates.sendPermits(to, permits, groupFacts());
    }
  }

  private EntryUpdates.GroupFacts groupFacts() {
    return new EntryUpdates.GroupFacts(state.configuration(), groupProgress);
  }

  /** Forgets what was sent to an entry, so that its next subscription gets all that it lacks. */
  void linkLost(InstanceId peer) {
    entryUpdates.linkLost(peer);
  }

  void recordJoinRequest(long nowNanos, MemberId member) {
    membership.recordJoinRequest(nowNanos, member);
  }

  void tick(long nowNanos, List<MemberProgress> progress) {
    groupProgress = progress;
    entryUpdates.updateLoadEstimates(nowNanos, ownership::loadEstimates);
    entryUpdates.setReserves(ownership.reservedSlots(nowNanos));
    for (FleetCommand command : ownership.tick(nowNanos)) {
      propose(command, committed -> {});
    }
    membership
        .nextStep(nowNanos, progress)
        .ifPresent(
            step -> {
              actions.log(
                  LogEvent.of("group.step")
                      .with("change", step.change())
                      .with("member", step.member()));
              actions.changeMembership(step.change(), step.member());
            });
    ownership.takeStartedMoves().forEach(this::logMove);
    ownership.takeWarmupChanges().forEach(this::logWarmup);
    if (entryUpdates.isChangeDue(nowNanos)) {
      if (ownership.takeViewChanged()) {
        entryUpdates.sendView(nowNanos, ownership.view(eventNanos), groupFacts());
      }
      entryUpdates.completeConfirmations();
    }
    confirmTargetCalls(nowNanos);
    startRound();
  }

  /**
   * Waits for a quorum round before targets are called. The calls are chosen after the round, so
   * that they follow from the state at that time.
   */
  private void confirmTargetCalls(long nowNanos) {
    if (isTargetCallRoundPending || !ownership.hasDueCalls(nowNanos)) {
      return;
    }
    isTargetCallRoundPending = true;
    confirmations.add(
        confirmed -> {
          isTargetCallRoundPending = false;
          if (confirmed && eventNanos - nowNanos <= MAX_CONFIRMATION_NANOS) {
            ownership.takeDueCalls(eventNanos).forEach(actions::callTarget);
          }
        });
  }

  void targetCallEnded(long nowNanos, TargetCall call, TargetCallResult result) {
    logTargetCall(call, result);
    for (FleetCommand command : ownership.callCompleted(nowNanos, call, result)) {
      propose(command, committed -> {});
    }
    ownership.takeStartedMoves().forEach(this::logMove);
  }

  /** Logs every release, and grants that had no success; renewals are too frequent. */
  private void logTargetCall(TargetCall call, TargetCallResult result) {
    boolean isGrant = call instanceof TargetCall.Grant;
    if (!isGrant || result.outcome() != TargetCallResult.Outcome.DONE) {
      actions.log(
          LogEvent.of(isGrant ? "grant.ended" : "release.ended")
              .with("target", call.target())
              .with("range", call.range())
              .with("fence", call.fence().value())
              .with("outcome", result.outcome())
              .with("warm", !result.handoverToken().isEmpty()));
    }
  }

  private void startRound() {
    if (confirmations.isRoundDue()) {
      confirmations.startRound(actions.confirmLeadership());
    }
  }

  void onApplied(FleetCommand command, FleetState newState) {
    Configuration before = state.configuration();
    boolean changesEvacuation = !state.evacuatedZones().equals(newState.evacuatedZones());
    state = newState;
    ownership.applied(command, newState);
    logApplied(command);
    if (changesEvacuation) {
      logEvacuation((FleetCommand.SetZoneEvacuation) command);
    }
    if (before.version() != newState.configuration().version()) {
      entryUpdates.sendConfiguration(eventNanos, groupFacts());
    }
  }

  void onProposalResult(long proposalId, boolean committed) {
    Consumer<Boolean> answer = proposals.remove(proposalId);
    if (answer != null) {
      answer.accept(committed);
    }
  }

  void onConfirmationResult(long requestId, boolean confirmed) {
    confirmations.completeRound(requestId, confirmed);
  }

  /** Rejects all waiting calls, because another process may lead now. */
  void rejectPending() {
    confirmations.rejectAll();
    evacuationOrders.rejectQueued();
    List<Consumer<Boolean>> openProposals = List.copyOf(proposals.values());
    proposals.clear();
    openProposals.forEach(p -> p.accept(false));
    queuedChanges.forEach(
        c ->
            actions.answer(
                c.requestId(), new ControlAnswer.Unavailable("this process lost the leadership")));
    queuedChanges.clear();
  }

  private void propose(FleetCommand command, Consumer<Boolean> onResult) {
    proposals.put(actions.propose(command), onResult);
  }

  /** Sets the entries that receive routing updates. */
  void setEntries(List<InstanceId> currentEntries) {
    entryUpdates.setEntries(currentEntries);
  }

  private void logMove(RangeMove move) {
    actions.log(
        LogEvent.of("range.moving")
            .with("service", move.service())
            .with("range", move.range())
            .with("from", move.from())
            .with("reason", move.reason()));
  }

  private void logEvacuation(FleetCommand.SetZoneEvacuation order) {
    long targets = state.targets().stream().filter(t -> order.zone().equals(t.zone())).count();
    actions.log(
        LogEvent.of(order.evacuated() ? "evacuation.started" : "evacuation.ended")
            .with("zone", order.zone())
            .with("targets", targets)
            .with("index", state.index()));
  }

  private void logWarmup(WarmupChange change) {
    actions.log(
        LogEvent.of("target.warmup").with("target", change.target()).with("state", change.state()));
  }

  private void logApplied(FleetCommand command) {
    if (command instanceof FleetCommand.RegisterTarget register) {
      actions.log(
          LogEvent.of("target.registered")
              .with("target", register.target().id())
              .with("service", register.target().service())
              .with("address", register.target().address())
              .with("phase", register.target().phase())
              .with("index", state.index()));
    } else if (command instanceof FleetCommand.RemoveTarget removal) {
      actions.log(
          LogEvent.of("target.removed")
              .with("target", removal.target())
              .with("index", state.index()));
    } else if (command instanceof FleetCommand.AssignRanges assign) {
      assign
          .assignments()
          .forEach(
              a ->
                  actions.log(
                      LogEvent.of("range.assigned")
                          .with("service", assign.service())
                          .with("range", a.range())
                          .with("target", a.owner())
                          .with("warm", !a.handoverToken().isEmpty())
                          .with("fence", state.index())));
    } else if (command instanceof FleetCommand.ChangeConfiguration change) {
      actions.log(
          LogEvent.of("configuration.changed")
              .with("version", change.change().version())
              .with("index", state.index()));
    }
  }
}
