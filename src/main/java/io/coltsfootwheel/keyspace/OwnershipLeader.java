package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides for one term of the control leader which targets are registered and which keys they hold.
 *
 * <p>The owner of a range is replicated before the range is granted to it. The expiry times of
 * leases are not replicated: only the current leader knows them, so a new leader assumes that every
 * owner was granted its keys at the moment of the election. A range moves in three steps:
 *
 * <ol>
 *   <li>The leader omits the range from the answer to its owner.
 *   <li>The owner reports that it no longer holds the range, or the lease of the owner expires.
 *   <li>The new owner is replicated, and is granted the range in the answer to its next report.
 * </ol>
 *
 * <p>Usage: the caller proposes the commands that {@link #report} and {@link #tick} return, calls
 * {@link #applied} for each applied command, and answers reports with {@link #grant}.
 */
public final class OwnershipLeader {
  /**
   * Report intervals without a new registration after which the keys of a new service are assigned.
   * An earlier assignment to the first few targets would be followed by many moves.
   */
  private static final double INITIAL_ASSIGNMENT_DELAY_INTERVALS = 1.5;

  /** Time between two evictions of idle entries from the load statistics. */
  private static final long EVICTION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final OwnershipSettings settings;
  private final HeartbeatMonitor heartbeats;
  private final RangeMoves moves = new RangeMoves();
  private final ColdTargets coldTargets;
  private final ViewBuilder viewBuilder;
  private final UnconfiguredTargets unconfiguredTargets = new UnconfiguredTargets();
  private final Map<ServiceName, Long> lastRegistrationNanos = new HashMap<>();

  /** Targets whose removal is proposed and not yet applied. */
  private final Set<TargetId> pendingRemovals = new HashSet<>();

  /**
   * Number of assignment commands per service that are proposed and not yet applied. Keys without
   * an owner are assigned only when it is 0: if a removal were applied before a proposed
   * assignment, the range would look unowned meanwhile and would be assigned twice.
   */
  private final Map<ServiceName, Integer> pendingAssignments = new HashMap<>();

  private final LoadStatistics loadStatistics = new LoadStatistics();
  private final RangePlacement placement;
  private final TargetRemovals removals;
  private final RemovedOwnerLeases removedOwnerLeases;
  private final long termStartNanos;
  private FleetState state;
  private final GrantCalls grantCalls;

  private final MoveStarter moveStarter;
  private final KeyedServices keyedServices;

  private long lastEvictionNanos;

  /** Number of leases that had ended at the last tick; a change of it changes the view. */
  private long endedLeases;

  private boolean viewChanged = true;

  /**
   * Starts a term.
   *
   * @param settings the settings
   * @param state replicated state at the start of the term
   * @param nowNanos monotonic time
   */
  public OwnershipLeader(OwnershipSettings settings, FleetState state, long nowNanos) {
    this.settings = settings;
    this.state = state;
    this.keyedServices = new KeyedServices(state);
    this.termStartNanos = nowNanos;
    this.heartbeats = new HeartbeatMonitor(settings, nowNanos, keyedServices::grantMethod);
    this.coldTargets = new ColdTargets(settings, heartbeats, state);
    this.viewBuilder =
        new ViewBuilder(settings, heartbeats, moves, coldTargets, keyedServices::grantMethod);
    this.removedOwnerLeases = new RemovedOwnerLeases(keyedServices);
    removedOwnerLeases.recordStart(state, nowNanos, settings);
    this.grantCalls = new GrantCalls(settings, heartbeats, moves, pendingRemovals, keyedServices);
    this.placement =
        new RangePlacement(heartbeats, loadStatistics, moves, pendingRemovals, coldTargets);
    this.removals = new TargetRemovals(settings, heartbeats, keyedServices, pendingRemovals);
    this.moveStarter =
        new MoveStarter(
            heartbeats,
            moves,
            loadStatistics,
            placement,
            pendingRemovals,
            keyedServices,
            state,
            nowNanos);
    state.targets().forEach(t -> heartbeats.getOrCreate(nowNanos, t, state));
    unconfiguredTargets.update(state);
  }

  /** Whether a report counts. */
  public enum ReportVerdict {
    /** The report is the newest of its target. */
    CURRENT,

    /** The report is outdated; its sender gets no grant. */
    OUTDATED,

    /** Too many targets are registered whose services are not configured; it may be sent again. */
    TOO_MANY_UNCONFIGURED;

    private ReportOutcome withoutCommands() {
      return new ReportOutcome(List.of(), false, this);
    }
  }

  /**
   * Result of processing a report.
   *
   * @param commands commands to propose
   * @param waitsForFirstCommand true when the report may be answered only after the first command
   *     has been applied
   * @param verdict whether the report counts
   */
  public record ReportOutcome(
      List<FleetCommand> commands, boolean waitsForFirstCommand, ReportVerdict verdict) {}

  /**
   * Processes a report of a target.
   *
   * @param nowNanos monotonic time at which the report arrived
   * @param report the report
   * @return commands to propose and how to answer the report
   */
  public ReportOutcome report(long nowNanos, HeartbeatReport report) {
    moveStarter.clearLoads();
    TargetRecord target = report.target();
    if (heartbeats.isOutdated(report, state)) {
      return ReportVerdict.OUTDATED.withoutCommands();
    }
    if (!unconfiguredTargets.admit(target, state)) {
      return ReportVerdict.TOO_MANY_UNCONFIGURED.withoutCommands();
    }
    Optional<TargetRecord> known = state.target(target.id());
    moves.removeEarlierIncarnations(target);
    TargetHeartbeat heartbeat = heartbeats.getOrCreate(nowNanos, target, state);
    heartbeat.recordReport(
        nowNanos,
        report.sequence(),
        nowNanos + TimeUnit.MILLISECONDS.toNanos(report.warmupLeftMillis()));
    List<FleetCommand> commands = new ArrayList<>();
    boolean changed = !known.equals(Optional.of(target));
    if (changed) {
      lastRegistrationNanos.put(target.service(), nowNanos);
      commands.add(new FleetCommand.RegisterTarget(target));
    }
    if (keyedServices.grantMethod(target.service()) == GrantMethod.HEARTBEAT) {
      moves.recordReleased(report);
      commands.addAll(assign(nowNanos, moves.releasedBy(report)));
    }
    joinAdjacentRanges(nowNanos, report, heartbeat)
        .ifPresent(
            join -> {
              pendingAssignments.merge(target.service(), 1, Integer::sum);
              commands.add(join);
            });
    boolean isLeaving = changed && target.phase() != TargetPhase.READY;
    return new ReportOutcome(commands, isLeaving, ReportVerdict.CURRENT);
  }

  /**
   * Processes the announcement of a target that it leaves.
   *
   * @param leave the announcement
   * @return the command to propose, or empty when the target is unknown, has left already or runs
   *     in another incarnation
   */
  public Optional<FleetCommand> leave(TargetLeave leave) {
    return state
        .target(leave.target())
        .filter(leave::concerns)
        .filter(t -> t.phase() != TargetPhase.LEFT)
        .map(t -> new FleetCommand.RegisterTarget(t.withPhase(TargetPhase.LEFT)));
  }

  /**
   * Decides which ranges a target holds from now on, and starts moves of its other ranges.
   *
   * @param nowNanos monotonic time at which the answer is sent
   * @param id the target that reported
   * @param incarnationMillis incarnation of the target that reported
   * @return the grant, or empty when the target may hold no keys or is granted them by call
   */
  public Optional<LeaseGrant> grant(long nowNanos, TargetId id, long incarnationMillis) {
    Optional<TargetRecord> registered =
        state
            .target(id)
            .filter(t -> t.incarnationMillis() == incarnationMillis)
            .filter(t -> keyedServices.contains(t.service()));
    Optional<TargetHeartbeat> known =
        heartbeats.find(id).filter(h -> h.incarnationMillis() == incarnationMillis);
    if (registered.isEmpty() || known.isEmpty() || pendingRemovals.contains(id)) {
      return Optional.empty();
    }
    TargetHeartbeat heartbeat = known.get();
    moveStarter.startMoves(nowNanos, registered.get(), heartbeat);
    if (keyedServices.grantMethod(registered.get().service()) == GrantMethod.CALL) {
      return Optional.empty();
    }
    viewChanged |= heartbeat.grantedIndex() < highestFence(registered.get());
    heartbeat.recordGrant(nowNanos + settings.leaseNanos(), state.index());
    return Optional.of(
        new LeaseGrant(moveStarter.stableRanges(registered.get()), settings.holdMillis()));
  }

  /**
   * Acts on elapsed time: reassigns the ranges of expired leases, removes unresponsive targets and
   * assigns keys without owner. Called periodically.
   *
   * @param nowNanos monotonic time
   * @return commands to propose
   */
  public List<FleetCommand> tick(long nowNanos) {
    moveStarter.clearLoads();
    List<FleetCommand> commands = new ArrayList<>();
    if (nowNanos - lastEvictionNanos > EVICTION_INTERVAL_NANOS) {
      lastEvictionNanos = nowNanos;
      loadStatistics.evictIdle(nowNanos, state);
      evictRemoved(nowNanos);
    }
    updateEndedLeases(nowNanos);
    viewChanged |= coldTargets.update(nowNanos, state);
    commands.addAll(assign(nowNanos, moves.expired(nowNanos, heartbeats)));
    commands.addAll(assign(nowNanos, moveStarter.startUngrantedMoves(nowNanos)));
    moveStarter.startMovesOfCalledTargets(nowNanos);
    commands.addAll(removals.due(nowNanos, state));
    for (ServiceName service : keyedServices.names()) {
      assignGaps(nowNanos, service).ifPresent(commands::add);
    }
    return commands;
  }

  /** Removes what is kept for targets and services that are not in use any more. */
  private void evictRemoved(long nowNanos) {
    unconfiguredTargets.update(state);
    heartbeats.evictRemoved(nowNanos, state);
    Set<ServiceName> used = new HashSet<>(keyedServices.names());
    state.targets().forEach(t -> used.add(t.service()));
    lastRegistrationNanos.keySet().retainAll(used);
  }

  /**
   * Returns whether targets have to be called.
   *
   * @param nowNanos monotonic time
   * @return true when {@link #takeDueCalls} would return a call
   */
  public boolean hasDueCalls(long nowNanos) {
    return grantCalls.isDue(nowNanos, state);
  }

  /**
   * Returns the calls that grant keys or take them back now. They may be sent only if a quorum
   * round that began at most {@link GrantMethod#MAX_CONFIRMATION_MILLIS} ago has confirmed the
   * leadership.
   *
   * @param nowNanos monotonic time
   * @return the calls; the end of each must be passed to {@link #callCompleted}
   */
  public List<TargetCall> takeDueCalls(long nowNanos) {
    return grantCalls.take(nowNanos, state);
  }

  /**
   * Processes the end of a call.
   *
   * @param nowNanos monotonic time
   * @param call the call
   * @param result its result
   * @return commands to propose
   */
  public List<FleetCommand> callCompleted(long nowNanos, TargetCall call, TargetCallResult result) {
    moveStarter.clearLoads();
    GrantCalls.Completion completion = grantCalls.completed(nowNanos, call, result);
    viewChanged |= completion.isNewlyHeld();
    completion.refused().ifPresent(moveStarter::startMoveOfRefusedRange);
    return assign(nowNanos, completion.released().map(List::of).orElse(List.of()));
  }

  /**
   * Adds the observations of an entry to the load statistics.
   *
   * @param nowNanos monotonic time
   * @param entry the entry
   * @param report the observations
   */
  public void recordLoad(long nowNanos, InstanceId entry, LoadReport report) {
    moveStarter.clearLoads();
    loadStatistics.add(nowNanos, entry, report, state);
  }

  /**
   * Processes a command that was applied to the replicated state.
   *
   * @param command the command
   * @param newState the state after the command
   */
  public void applied(FleetCommand command, FleetState newState) {
    moveStarter.clearLoads();
    removedOwnerLeases.recordRemoved(state, newState, heartbeats);
    recordEvacuationEnds(state, newState);
    if (command instanceof FleetCommand.RegisterTarget registered
        && state.target(registered.target().id()).isEmpty()
        && state.targets().stream()
            .noneMatch(t -> t.address().equals(registered.target().address()))) {
      coldTargets.recordNew(registered.target().id());
    }
    state = newState;
    moveStarter.setState(newState);
    viewChanged |= !(command instanceof FleetCommand.ChangeConfiguration);
    if (command instanceof FleetCommand.ChangeConfiguration) {
      keyedServices.update(newState);
      coldTargets.updateServices(newState);
    } else if (command instanceof FleetCommand.AssignRanges assign) {
      pendingAssignments.merge(assign.service(), -1, Integer::sum);
    } else if (command instanceof FleetCommand.RemoveTarget removal) {
      pendingRemovals.remove(removal.target());
    }
    moves.applied(command, newState);
  }

  /** Returns whether a target has reported since the evacuation of its zone ended in this term. */
  boolean hasReportedSinceEvacuation(TargetId target) {
    return heartbeats.find(target).map(TargetHeartbeat::hasReportedSinceEvacuation).orElse(true);
  }

  private void recordEvacuationEnds(FleetState before, FleetState after) {
    if (!before.evacuatedZones().equals(after.evacuatedZones())) {
      after.targets().stream()
          .filter(t -> before.isEvacuated(t) && !after.isEvacuated(t))
          .flatMap(t -> heartbeats.find(t.id()).stream())
          .forEach(TargetHeartbeat::recordEvacuationEnd);
    }
  }

  /**
   * Takes permits for cold targets. They may be sent only after a quorum round that began after
   * this call, so that no deposed leader grants permits beside its successor.
   *
   * @param nowNanos monotonic time
   * @param entry the entry that asks
   * @param wanted permits wanted by target
   * @return grants by target
   */
  public Map<TargetId, PermitGrant> takePermits(
      long nowNanos, InstanceId entry, Map<TargetId, Integer> wanted) {
    return coldTargets.takePermits(nowNanos, entry, wanted, state);
  }

  /**
   * Returns the targets that became cold or warm since the last call, for logs.
   *
   * @return the changes in the order in which they were noticed
   */
  public List<WarmupChange> takeWarmupChanges() {
    return coldTargets.takeChanges();
  }

  /**
   * Returns the moves in progress.
   *
   * @return the moves in the order in which they were started
   */
  public List<RangeMove> moves() {
    return moves.all();
  }

  /**
   * Returns the moves started since the last call, for logs.
   *
   * @return the moves in the order in which they were started
   */
  public List<RangeMove> takeStartedMoves() {
    return moves.takeStarted();
  }

  /**
   * Returns the targets and ranges by which entries route requests.
   *
   * @param nowNanos monotonic time
   * @return the current view
   */
  public OwnershipView view(long nowNanos) {
    return viewBuilder.view(nowNanos, state);
  }

  /**
   * Returns whether {@link #view} may have changed since the last call of this method, and resets
   * the flag.
   *
   * @return true when the view has to be sent to entries
   */
  public boolean takeViewChanged() {
    boolean changed = viewChanged | moveStarter.takeHasStarted();
    viewChanged = false;
    return changed;
  }

  /**
   * Returns the load of each target, summed over all entries.
   *
   * @param nowNanos monotonic time
   * @return load estimate by target
   */
  public Map<TargetId, TargetLoadEstimate> loadEstimates(long nowNanos) {
    return loadStatistics.estimates(nowNanos, state);
  }

  /**
   * Returns the slots that are reserved for more urgent requests, from the demand that all entries
   * reported.
   *
   * @param nowNanos monotonic time
   * @return reserved slots of services with requests of several priorities
   */
  public List<ReservedSlots> reservedSlots(long nowNanos) {
    return loadStatistics.reservedSlots(nowNanos, state);
  }

  /**
   * Returns the command that joins the first two adjacent ranges of a target, both of which it was
   * granted and holds according to its report.
   */
  private Optional<FleetCommand> joinAdjacentRanges(
      long nowNanos, HeartbeatReport report, TargetHeartbeat heartbeat) {
    TargetRecord target = report.target();
    boolean isCalled = keyedServices.grantMethod(target.service()) == GrantMethod.CALL;
    List<OwnedRange> grantedRanges =
        moveStarter.grantedRanges(nowNanos, target, heartbeat).stream()
            .filter(r -> isCalled || report.holdsAnyKeyOf(r.range()))
            .toList();
    for (int i = 1; i < grantedRanges.size(); i++) {
      KeyRange before = grantedRanges.get(i - 1).range();
      KeyRange after = grantedRanges.get(i).range();
      if (before.to() + 1 == after.from()) {
        KeyRange whole = new KeyRange(before.from(), after.to());
        FleetCommand.Assignment joined =
            new FleetCommand.Assignment(whole, Optional.of(target.id()), target.id(), "");
        return Optional.of(new FleetCommand.AssignRanges(target.service(), List.of(joined)));
      }
    }
    return Optional.empty();
  }

  private long highestFence(TargetRecord target) {
    return state.table(target.service()).rangesOf(target.id()).stream()
        .mapToLong(r -> r.fence().value())
        .max()
        .orElse(0);
  }

  private void updateEndedLeases(long nowNanos) {
    long ended = heartbeats.countEndedLeases(nowNanos);
    viewChanged |= ended != endedLeases;
    endedLeases = ended;
  }

  private List<FleetCommand> assign(long nowNanos, List<RangeMove> released) {
    List<FleetCommand> commands = new ArrayList<>();
    for (ServiceName service : released.stream().map(RangeMove::service).distinct().toList()) {
      List<RangeMove> ofService =
          released.stream().filter(m -> m.service().equals(service)).toList();
      List<FleetCommand.Assignment> assignments =
          placement.assignReleased(nowNanos, service, ofService, state);
      if (!assignments.isEmpty()) {
        commands.add(new FleetCommand.AssignRanges(service, assignments));
        pendingAssignments.merge(service, 1, Integer::sum);
      }
    }
    return commands;
  }

  private Optional<FleetCommand> assignGaps(long nowNanos, ServiceName service) {
    List<KeyRange> gaps =
        removedOwnerLeases.withoutLeased(nowNanos, service, state.table(service).gaps());
    if (gaps.isEmpty() || pendingAssignments.getOrDefault(service, 0) > 0) {
      return Optional.empty();
    }
    boolean isInitial = state.table(service).ranges().isEmpty();
    long registeredNanos = lastRegistrationNanos.getOrDefault(service, termStartNanos);
    long delayNanos =
        TimeUnit.MILLISECONDS.toNanos(
            (long) (INITIAL_ASSIGNMENT_DELAY_INTERVALS * settings.reportIntervalMillis()));
    if (isInitial && nowNanos - registeredNanos < delayNanos) {
      return Optional.empty();
    }
    List<FleetCommand.Assignment> assignments =
        isInitial
            ? placement.assignInitial(nowNanos, service, state)
            : placement.fillGaps(nowNanos, service, gaps, state);
    if (assignments.isEmpty()) {
      return Optional.empty();
    }
    pendingAssignments.merge(service, 1, Integer::sum);
    return Optional.of(new FleetCommand.AssignRanges(service, assignments));
  }
}
