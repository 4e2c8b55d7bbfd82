package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.LeaseGrant;
import io.coltsfootwheel.keyspace.OwnershipLeader;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.RangeMove;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationChange;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Work of the leader during one term: answers to targets, operators and entries.
 *
 * <p>Each answer that promises something is given either after a command of this term was committed
 * or after a quorum round that began after the call arrived, so that a deposed leader promises
 * nothing.
 */
final class LeaderSession {
  private final InstanceId self;
  private final long term;
  private final LeaderPort port;
  private final OwnershipLeader ownership;
  private final GroupMembership membership;
  private final Confirmations confirmations = new Confirmations();
  private final Map<Long, Consumer<Boolean>> proposals = new HashMap<>();
  private final Deque<PendingChange> changes = new ArrayDeque<>();
  private boolean changeProposed;
  private FleetState state;
  private List<MemberProgress> group = List.of();
  private List<InstanceId> entries = List.of();

  /** Pressure of all targets as of the last tick. */
  private Map<TargetId, TargetLoadEstimate> pressure = Map.of();

  /** Time of the event in progress; callbacks of confirmations and proposals read it. */
  private long presentNanos;

  private long viewSequence;
  private OwnershipView view = OwnershipView.empty();

  private record PendingChange(long requestId, ConfigurationChange change) {}

  LeaderSession(
      InstanceId self,
      long term,
      LeaderPort port,
      OwnershipSettings settings,
      int wantedVoters,
      FleetState state,
      long nowNanos) {
    this.self = self;
    this.term = term;
    this.port = port;
    this.state = state;
    this.ownership = new OwnershipLeader(settings, state, nowNanos);
    this.membership = new GroupMembership(wantedVoters, nowNanos);
  }

  void report(long nowNanos, long requestId, HeartbeatReport report) {
    TargetRecord target = report.target();
    OwnershipLeader.ReportOutcome observed = ownership.report(nowNanos, report);
    if (!observed.isCurrent()) {
      port.log(
          LogEvent.of("report.outdated")
              .with("target", target.id())
              .with("sequence", report.sequence()));
      port.answer(requestId, new ControlAnswer.Acknowledged(Optional.empty(), self));
      return;
    }
    Consumer<Boolean> answer = confirmed -> answerReport(confirmed, requestId, target);
    boolean waits = observed.waitsForFirstCommand();
    for (FleetCommand command : observed.commands()) {
      propose(command, waits ? answer : done -> {});
      waits = false;
    }
    if (!observed.waitsForFirstCommand()) {
      confirmations.add(answer);
    }
  }

  private void answerReport(boolean confirmed, long requestId, TargetRecord target) {
    if (!confirmed) {
      port.answer(requestId, new ControlAnswer.Unavailable("leadership is not confirmed"));
      return;
    }
    Optional<LeaseGrant> grant =
        ownership.grant(presentNanos, target.id(), target.incarnationMillis());
    ownership.takeStartedMoves().forEach(this::logMove);
    publishView();
    port.answer(requestId, new ControlAnswer.Acknowledged(grant, self));
  }

  void at(long nowNanos) {
    presentNanos = nowNanos;
  }

  void leave(long requestId, TargetId target) {
    Consumer<Boolean> answer =
        done ->
            port.answer(
                requestId,
                done
                    ? new ControlAnswer.Accepted()
                    : new ControlAnswer.Unavailable("the departure was not recorded"));
    Optional<FleetCommand> command = ownership.leave(target);
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
            changes.add(new PendingChange(requestId, change));
            nextChange();
          } else {
            port.answer(requestId, new ControlAnswer.Unavailable("leadership is not confirmed"));
          }
        });
  }

  void read(long requestId) {
    confirmations.add(
        confirmed ->
            port.answer(
                requestId,
                confirmed
                    ? new ControlAnswer.Current(state.configuration())
                    : new ControlAnswer.Unavailable("leadership is not confirmed")));
  }

  /** Changes are judged one after the other, each against the result of those before it. */
  private void nextChange() {
    while (!changeProposed && !changes.isEmpty()) {
      PendingChange next = changes.poll();
      ChangeOutcome outcome = state.configuration().evaluate(next.change());
      port.log(
          LogEvent.of("configuration.judged")
              .with("version", next.change().version())
              .with("base", next.change().baseVersion())
              .with("current", state.configuration().version())
              .with("outcome", outcome.getClass().getSimpleName()));
      if (outcome instanceof ChangeOutcome.Applicable) {
        changeProposed = true;
        propose(
            new FleetCommand.ChangeConfiguration(next.change()),
            done -> finishChange(next.requestId(), done));
      } else if (outcome instanceof ChangeOutcome.Conflict conflict) {
        port.answer(next.requestId(), new ControlAnswer.Conflict(conflict.currentVersion()));
      } else if (outcome instanceof ChangeOutcome.Invalid invalid) {
        port.answer(next.requestId(), new ControlAnswer.Invalid(invalid.reason()));
      } else {
        port.answer(next.requestId(), new ControlAnswer.Accepted());
      }
    }
  }

  private void finishChange(long requestId, boolean done) {
    changeProposed = false;
    port.answer(
        requestId,
        done
            ? new ControlAnswer.Accepted()
            : new ControlAnswer.Unavailable("the outcome of the change is not known yet"));
    nextChange();
  }

  void subscribe(long nowNanos, InstanceId from, NodeMessage.Subscribe subscribe) {
    ownership.recordLoad(nowNanos, from, subscribe.load());
    boolean isConfigured = subscribe.configurationVersion() == state.configuration().version();
    boolean isInView = subscribe.term() == term && subscribe.viewSequence() == viewSequence;
    port.send(
        from,
        routing(
            isConfigured
                ? Optional.empty()
                : Optional.of(state.configuration().withoutAcceptedFingerprints()),
            isInView ? Optional.empty() : Optional.of(view),
            Optional.empty()));
  }

  void joining(long nowNanos, MemberId member) {
    membership.joining(nowNanos, member);
  }

  void tick(long nowNanos, List<MemberProgress> progress) {
    group = progress;
    pressure = ownership.loadEstimates(nowNanos);
    for (FleetCommand command : ownership.tick(nowNanos)) {
      propose(command, done -> {});
    }
    membership
        .due(nowNanos, progress)
        .ifPresent(
            step -> {
              port.log(
                  LogEvent.of("group.step")
                      .with("change", step.change())
                      .with("member", step.member()));
              port.changeMembership(step.change(), step.member());
            });
    publishView();
    startRound();
  }

  private void startRound() {
    if (confirmations.isRoundDue()) {
      confirmations.startRound(port.confirmLeadership());
    }
  }

  void applied(FleetCommand command, FleetState newState) {
    Configuration before = state.configuration();
    state = newState;
    ownership.applied(command, newState);
    logApplied(command);
    if (before.version() != newState.configuration().version()) {
      broadcast(
          routing(
              Optional.of(newState.configuration().withoutAcceptedFingerprints()),
              Optional.empty(),
              Optional.empty()));
    }
    publishView();
  }

  void proposalEnded(long proposalId, boolean done) {
    Consumer<Boolean> answer = proposals.remove(proposalId);
    if (answer != null) {
      answer.accept(done);
    }
  }

  void confirmationEnded(long requestId, boolean confirmed) {
    confirmations.ended(requestId, confirmed);
  }

  /** Refuses everything that waits, because another process may lead now. */
  void end() {
    confirmations.refuseAll();
    List<Consumer<Boolean>> open = List.copyOf(proposals.values());
    proposals.clear();
    open.forEach(p -> p.accept(false));
    changes.forEach(
        c -> port.answer(c.requestId(), new ControlAnswer.Unavailable("leadership was lost")));
    changes.clear();
  }

  private void propose(FleetCommand command, Consumer<Boolean> whenEnded) {
    proposals.put(port.propose(command), whenEnded);
  }

  private void publishView() {
    if (ownership.takeViewChanged()) {
      OwnershipView before = view;
      view = ownership.view(presentNanos);
      viewSequence++;
      broadcast(
          routing(Optional.empty(), Optional.empty(), Optional.of(view.changesSince(before))));
    }
  }

  private NodeMessage.Routing routing(
      Optional<Configuration> configuration,
      Optional<OwnershipView> wholeView,
      Optional<OwnershipView.Change> change) {
    return new NodeMessage.Routing(
        term,
        viewSequence,
        state.configuration().version(),
        configuration,
        wholeView,
        change,
        change.isPresent() ? Map.of() : pressure,
        entries.size(),
        group.stream().map(m -> m.member().instance()).distinct().toList());
  }

  /** Sets the entries to which changes are sent. */
  void entries(List<InstanceId> present) {
    entries = present;
  }

  private void broadcast(NodeMessage message) {
    entries.forEach(entry -> port.send(entry, message));
  }

  private void logMove(RangeMove move) {
    port.log(
        LogEvent.of("range.moving")
            .with("service", move.service())
            .with("range", move.range())
            .with("from", move.from())
            .with("reason", move.reason()));
  }

  private void logApplied(FleetCommand command) {
    if (command instanceof FleetCommand.RegisterTarget register) {
      port.log(
          LogEvent.of("target.registered")
              .with("target", register.target().id())
              .with("service", register.target().service())
              .with("address", register.target().address())
              .with("phase", register.target().phase())
              .with("index", state.index()));
    } else if (command instanceof FleetCommand.RemoveTarget removal) {
      port.log(
          LogEvent.of("target.removed")
              .with("target", removal.target())
              .with("index", state.index()));
    } else if (command instanceof FleetCommand.AssignRanges assign) {
      assign
          .assignments()
          .forEach(
              a ->
                  port.log(
                      LogEvent.of("range.assigned")
                          .with("service", assign.service())
                          .with("range", a.range())
                          .with("target", a.owner())
                          .with("warm", !a.handoverToken().isEmpty())
                          .with("fence", state.index())));
    } else if (command instanceof FleetCommand.ChangeConfiguration change) {
      port.log(
          LogEvent.of("configuration.changed")
              .with("version", change.change().version())
              .with("index", state.index()));
    }
  }
}
