package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which calls grant keys to targets and take them back, for services whose keys are granted
 * by call.
 *
 * <p>Calls for the same key are never in progress at the same time, because they could arrive in
 * another order. Ranges that move are not granted. The number of calls in progress is bounded; when
 * it is reached, calls that take keys back go first, then first grants, then the oldest renewals.
 */
final class GrantCalls {
  private static final int MAX_OPEN_CALLS = 128;
  private static final int MAX_OPEN_GRANTS_PER_TARGET = 4;

  /** Share of the hold time after which a lease is renewed; two renewals may fail. */
  private static final double RENEWAL_SHARE = 0.3;

  /** Share of the renewal interval by which renewals are spread over time. */
  private static final double RENEWAL_SPREAD = 0.25;

  private static final int SPREAD_STEPS = 64;

  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final OwnershipSettings settings;
  private final HeartbeatMonitor heartbeats;
  private final RangeMoves moves;
  private final Set<TargetId> pendingRemovals;
  private final KeyedServices keyedServices;
  private final Set<TargetCall> openCalls = new HashSet<>();

  /** Releases that ended without an answer or need no further call. */
  private final List<EndedRelease> endedReleases = new ArrayList<>();

  private long lastCallId;

  private record EndedRelease(RangeMove move, boolean isAnswered, long endNanos) {}

  /**
   * What the end of a call leads to.
   *
   * @param released move whose range the owner has released
   * @param refused call whose fence the target refused as too low
   * @param isNewlyHeld true when the target holds a range since the call
   */
  record Completion(
      Optional<RangeMove> released, Optional<TargetCall> refused, boolean isNewlyHeld) {
    static Completion none() {
      return new Completion(Optional.empty(), Optional.empty(), false);
    }
  }

  private record Candidate(long orderNanos, TargetCall call) {}

  /**
   * Creates a component that reads the mutable state of the leader.
   *
   * @param settings the settings
   * @param heartbeats reports and leases of all targets
   * @param moves moves in progress
   * @param pendingRemovals targets whose removal is proposed and not yet applied
   * @param keyedServices the keyed services
   */
  GrantCalls(
      OwnershipSettings settings,
      HeartbeatMonitor heartbeats,
      RangeMoves moves,
      Set<TargetId> pendingRemovals,
      KeyedServices keyedServices) {
    this.settings = settings;
    this.heartbeats = heartbeats;
    this.moves = moves;
    this.pendingRemovals = pendingRemovals;
    this.keyedServices = keyedServices;
  }

  /** Returns whether {@link #take} would return a call. */
  boolean isDue(long nowNanos, FleetState state) {
    return openCalls.size() < MAX_OPEN_CALLS && !candidates(nowNanos, state).isEmpty();
  }

  /** Returns the calls that are due now; the caller sends them and reports their ends. */
  List<TargetCall> take(long nowNanos, FleetState state) {
    endedReleases.removeIf(e -> moves.all().stream().noneMatch(e.move()::isSameMove));
    List<TargetCall> taken = new ArrayList<>();
    List<Candidate> inOrder =
        candidates(nowNanos, state).stream()
            .sorted(Comparator.comparingLong(Candidate::orderNanos))
            .toList();
    for (Candidate candidate : inOrder) {
      TargetCall call = candidate.call();
      CallLeases leases = heartbeats.find(call.target()).orElseThrow().callLeases();
      boolean isGrant = call instanceof TargetCall.Grant;
      boolean hasRoom = !isGrant || leases.openGrants() < MAX_OPEN_GRANTS_PER_TARGET;
      if (openCalls.size() < MAX_OPEN_CALLS && hasRoom) {
        leases.recordSent(nowNanos, call);
        openCalls.add(call);
        taken.add(call);
      }
    }
    return taken;
  }

  /** Processes the end of a call; a call of an earlier term has no effect. */
  Completion completed(long nowNanos, TargetCall call, TargetCallResult result) {
    if (!openCalls.remove(call)) {
      return Completion.none();
    }
    Optional<TargetHeartbeat> heartbeat = heartbeats.find(call.target());
    boolean isNewlyHeld =
        heartbeat
            .map(h -> h.callLeases().recordEnd(nowNanos, call, result.outcome()))
            .orElse(false);
    if (call instanceof TargetCall.Release release) {
      return new Completion(releaseEnded(nowNanos, release, result), Optional.empty(), false);
    }
    boolean refused = result.outcome() == TargetCallResult.Outcome.FENCE_TOO_LOW;
    return new Completion(
        Optional.empty(), refused ? Optional.of(call) : Optional.empty(), isNewlyHeld);
  }

  private Optional<RangeMove> releaseEnded(
      long nowNanos, TargetCall.Release call, TargetCallResult result) {
    Optional<RangeMove> move =
        moves.all().stream()
            .filter(m -> m.from().equals(call.target()) && m.range().equals(call.range()))
            .filter(m -> !m.assignmentProposed())
            .findFirst();
    if (move.isEmpty()) {
      return Optional.empty();
    }
    boolean isAnswered = result.outcome() == TargetCallResult.Outcome.DONE;
    endedReleases.add(new EndedRelease(move.get(), isAnswered, nowNanos));
    return isAnswered
        ? moves
            .recordReleased(move.get(), result.handoverToken())
            .filter(m -> !isArrivalUncertain(nowNanos, m))
        : Optional.empty();
  }

  /**
   * Returns whether an earlier grant of the moving range may be carried out after its release: a
   * call without an answer, or one of an earlier leader.
   */
  private boolean isArrivalUncertain(long nowNanos, RangeMove move) {
    return heartbeats
        .find(move.from())
        .filter(h -> isArrivalUncertain(nowNanos, h, move.range()))
        .isPresent();
  }

  static boolean isArrivalUncertain(long nowNanos, TargetHeartbeat heartbeat, KeyRange range) {
    return heartbeat.isAnsweredLeaseInForce(nowNanos)
        || heartbeat.callLeases().isUncertain(nowNanos, range);
  }

  private List<Candidate> candidates(long nowNanos, FleetState state) {
    List<Candidate> candidates = new ArrayList<>();
    for (ServiceName service : keyedServices.names()) {
      if (keyedServices.grantMethod(service) == GrantMethod.CALL) {
        addReleases(nowNanos, service, state, candidates);
        addGrants(nowNanos, service, state, candidates);
      }
    }
    return candidates;
  }

  private void addReleases(
      long nowNanos, ServiceName service, FleetState state, List<Candidate> candidates) {
    for (RangeMove move : moves.all()) {
      if (!move.service().equals(service) || !isReleaseDue(nowNanos, move)) {
        continue;
      }
      long limitNanos = Math.max(move.releaseByNanos() - nowNanos, RETRY_NANOS);
      TargetRecord target = state.target(move.from()).orElseThrow();
      TargetCall release =
          new TargetCall.Release(
              ++lastCallId,
              target.id(),
              target.address(),
              move.range(),
              highestFence(service, move, state),
              nowNanos + limitNanos);
      candidates.add(new Candidate(Long.MIN_VALUE, release));
    }
  }

  private boolean isReleaseDue(long nowNanos, RangeMove move) {
    Optional<EndedRelease> last =
        endedReleases.stream()
            .filter(e -> e.move().isSameMove(move))
            .max(Comparator.comparingLong(EndedRelease::endNanos));
    boolean mayRepeat =
        last.isEmpty()
            || !last.get().isAnswered() && nowNanos - last.get().endNanos() > RETRY_NANOS;
    return mayRepeat
        && !move.assignmentProposed()
        && heartbeats
            .find(move.from())
            .filter(h -> h.incarnationMillis() == move.incarnationMillis())
            .filter(h -> !h.callLeases().isCallOpen(move.range()))
            .filter(h -> !h.isLeaseEnded(nowNanos, move.range()))
            .isPresent();
  }

  private static Fence highestFence(ServiceName service, RangeMove move, FleetState state) {
    return state.table(service).rangesOf(move.from()).stream()
        .filter(r -> r.range().overlaps(move.range()))
        .map(OwnedRange::fence)
        .max(Comparator.naturalOrder())
        .orElse(Fence.of(0));
  }

  private void addGrants(
      long nowNanos, ServiceName service, FleetState state, List<Candidate> candidates) {
    for (OwnedRange owned : state.table(service).ranges()) {
      Optional<TargetRecord> target = state.target(owned.owner()).filter(this::mayBeGranted);
      Optional<CallLeases> leases =
          target
              .flatMap(t -> heartbeats.find(t.id()).filter(h -> isSameIncarnation(h, t)))
              .map(TargetHeartbeat::callLeases);
      if (leases.isPresent() && isReachable(nowNanos, target.get(), leases.get())) {
        addGrant(nowNanos, service, target.get(), owned, leases.get(), candidates);
      }
    }
  }

  private boolean mayBeGranted(TargetRecord target) {
    return target.phase() != TargetPhase.LEFT && !pendingRemovals.contains(target.id());
  }

  private static boolean isSameIncarnation(TargetHeartbeat heartbeat, TargetRecord target) {
    return heartbeat.incarnationMillis() == target.incarnationMillis();
  }

  /**
   * Returns whether a target reports or has answered its last call. A target that is only silent
   * keeps its keys; one that does neither must lose them in the end, so its leases are not renewed.
   */
  private boolean isReachable(long nowNanos, TargetRecord target, CallLeases leases) {
    return !leases.isFailing(nowNanos)
        && !leases.hasFailedWithin(nowNanos, RETRY_NANOS)
        && (heartbeats.isReporting(nowNanos, target.id()) || leases.hasAnsweredLastGrant());
  }

  private void addGrant(
      long nowNanos,
      ServiceName service,
      TargetRecord target,
      OwnedRange owned,
      CallLeases leases,
      List<Candidate> candidates) {
    for (OwnedRange part : moves.stableParts(service, owned)) {
      Optional<Long> lastSentNanos = leases.lastSentNanos(part.range(), part.fence());
      boolean isDue =
          lastSentNanos.isEmpty()
              || nowNanos - lastSentNanos.get() > renewalNanos(part)
              || !leases.isHeld(nowNanos, part.range())
                  && nowNanos - lastSentNanos.get() > RETRY_NANOS;
      if (isDue && !leases.isCallOpen(part.range())) {
        TargetCall grant =
            new TargetCall.Grant(
                ++lastCallId,
                target.id(),
                target.address(),
                part.range(),
                part.fence(),
                part.handoverToken(),
                settings.holdMillis(),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(GrantMethod.MAX_CALL_MILLIS));
        candidates.add(new Candidate(lastSentNanos.orElse(Long.MIN_VALUE + 1), grant));
      }
    }
  }

  private long renewalNanos(OwnedRange owned) {
    double phase = Math.floorMod(owned.range().from(), SPREAD_STEPS) / (double) SPREAD_STEPS;
    double share = RENEWAL_SHARE * (1 - RENEWAL_SPREAD * phase);
    return (long) (share * TimeUnit.MILLISECONDS.toNanos(settings.holdMillis()));
  }
}
