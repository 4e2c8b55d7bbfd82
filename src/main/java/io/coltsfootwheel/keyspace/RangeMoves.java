package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Moves of ranges that are in progress, in the order in which they were started. */
final class RangeMoves {
  private final List<RangeMove> moves = new ArrayList<>();
  private List<RangeMove> started = new ArrayList<>();

  List<RangeMove> all() {
    return List.copyOf(moves);
  }

  /** Starts a move: from now on the range is omitted from the answers to its owner. */
  void start(TargetRecord owner, TargetHeartbeat heartbeat, KeyRange range, String reason) {
    start(owner, heartbeat, range, List.of(), reason);
  }

  /**
   * Starts a move of a range that its owner was never granted. The handover token of the holder
   * before it is still valid for the next owner.
   */
  RangeMove startUngranted(
      TargetRecord owner, TargetHeartbeat heartbeat, OwnedRange owned, String reason) {
    List<ReleasedRange> tokens =
        owned.handoverToken().isEmpty()
            ? List.of()
            : List.of(new ReleasedRange(owned.range(), owned.handoverToken()));
    return start(owner, heartbeat, owned.range(), tokens, reason);
  }

  private RangeMove start(
      TargetRecord owner,
      TargetHeartbeat heartbeat,
      KeyRange range,
      List<ReleasedRange> handoverTokens,
      String reason) {
    RangeMove move =
        new RangeMove(
            owner.service(),
            range,
            owner.id(),
            owner.incarnationMillis(),
            heartbeat.sequence(),
            heartbeat.leaseEndNanos(range),
            false,
            handoverTokens,
            reason);
    moves.add(move);
    started.add(move);
    return move;
  }

  /** Returns the moves started since the last call. */
  List<RangeMove> takeStarted() {
    List<RangeMove> taken = started;
    started = new ArrayList<>();
    return taken;
  }

  long count(ServiceName service) {
    return moves.stream().filter(m -> m.service().equals(service)).count();
  }

  /** Returns the ranges of an owner without the keys that are moving. */
  List<OwnedRange> stableRanges(ServiceName service, TargetId owner, FleetState state) {
    RangeTable table = RangeTable.of(state.table(service).rangesOf(owner));
    for (RangeMove move : moves) {
      if (move.service().equals(service) && move.from().equals(owner)) {
        table = table.withoutRange(move.range());
      }
    }
    return table.ranges();
  }

  /** Returns an owned range without its keys that are moving. */
  List<OwnedRange> stableParts(ServiceName service, OwnedRange owned) {
    RangeTable table = RangeTable.of(List.of(owned));
    for (RangeMove move : moves) {
      if (move.service().equals(service) && move.range().overlaps(owned.range())) {
        table = table.withoutRange(move.range());
      }
    }
    return table.ranges();
  }

  /**
   * Records the handover tokens of released parts. An owner that still executes requests for some
   * keys of a range releases the range over several reports, and sends each token only once.
   */
  void recordReleased(HeartbeatReport report) {
    TargetRecord owner = report.target();
    moves.replaceAll(
        m -> {
          boolean isOwner =
              m.from().equals(owner.id())
                  && m.incarnationMillis() == owner.incarnationMillis()
                  && !m.assignmentProposed();
          return isOwner ? m.withReleased(within(m.range(), report.releasedRanges())) : m;
        });
  }

  private static List<ReleasedRange> within(KeyRange range, List<ReleasedRange> parts) {
    return parts.stream()
        .filter(p -> range.from() <= p.range().from() && p.range().to() <= range.to())
        .toList();
  }

  /**
   * Returns the moves whose owner has released the whole range, according to a report later than
   * the one whose answer first omitted the range.
   */
  List<RangeMove> releasedBy(HeartbeatReport report) {
    return moves.stream()
        .filter(m -> m.from().equals(report.target().id()) && !m.assignmentProposed())
        .filter(m -> report.sequence() > m.omittedSequence())
        .filter(m -> !report.holdsAnyKeyOf(m.range()))
        .toList();
  }

  /**
   * Records the handover token that the owner of a moving range returned when it released it.
   *
   * @return the move with the token, or empty when the move has ended or has a new owner already
   */
  Optional<RangeMove> recordReleased(RangeMove released, String handoverToken) {
    List<ReleasedRange> parts =
        handoverToken.isEmpty()
            ? List.of()
            : List.of(new ReleasedRange(released.range(), handoverToken));
    for (int i = 0; i < moves.size(); i++) {
      if (moves.get(i).isSameMove(released) && !moves.get(i).assignmentProposed()) {
        moves.set(i, moves.get(i).withReleased(parts));
        return Optional.of(moves.get(i));
      }
    }
    return Optional.empty();
  }

  /** Returns whether keys of a range of an owner are moving. */
  boolean isMoving(ServiceName service, TargetId owner, KeyRange range) {
    return moves.stream()
        .anyMatch(
            m ->
                m.service().equals(service) && m.from().equals(owner) && m.range().overlaps(range));
  }

  /** Returns the moves whose owner did not release the range before its lease expired. */
  List<RangeMove> expired(long nowNanos, HeartbeatMonitor heartbeats) {
    return moves.stream()
        .filter(m -> !m.assignmentProposed() && nowNanos - m.releaseByNanos() > 0)
        .filter(m -> heartbeats.isLeaseEnded(nowNanos, m.from(), m.range()))
        .toList();
  }

  void markAssignmentProposed(RangeMove move) {
    int position = moves.indexOf(move);
    if (position >= 0) {
      moves.set(position, move.withAssignmentProposed());
    }
  }

  /**
   * Removes the moves that a command has completed or ended. An assignment that the state rejected
   * also ends its move, and the range is granted to its owner again.
   */
  void applied(FleetCommand command, FleetState state) {
    if (command instanceof FleetCommand.AssignRanges assign) {
      moves.removeIf(
          m ->
              m.assignmentProposed()
                  && m.service().equals(assign.service())
                  && assign.assignments().stream().anyMatch(a -> a.range().overlaps(m.range())));
    }
    moves.removeIf(m -> state.target(m.from()).isEmpty());
  }

  /** Removes the moves of earlier incarnations of a target, which hold no keys any more. */
  void removeEarlierIncarnations(TargetRecord target) {
    moves.removeIf(
        m -> m.from().equals(target.id()) && m.incarnationMillis() < target.incarnationMillis());
  }

  /**
   * Splits a released range into one assignment for each handover token and one for each part
   * without a token. A token is valid for its exact range, so parts cannot be merged here.
   */
  static List<FleetCommand.Assignment> splitByHandoverToken(RangeMove move, TargetId to) {
    KeyRange range = move.range();
    Optional<TargetId> from = Optional.of(move.from());
    List<FleetCommand.Assignment> result = new ArrayList<>();
    int next = range.from();
    List<ReleasedRange> partsInOrder =
        move.handoverTokens().stream().sorted(Comparator.comparing(ReleasedRange::range)).toList();
    for (ReleasedRange part : partsInOrder) {
      if (part.range().from() < next) {
        continue;
      }
      if (part.range().from() > next) {
        KeyRange cold = new KeyRange(next, part.range().from() - 1);
        result.add(new FleetCommand.Assignment(cold, from, to, ""));
      }
      result.add(new FleetCommand.Assignment(part.range(), from, to, part.handoverToken()));
      next = part.range().to() + 1;
    }
    if (next <= range.to()) {
      result.add(new FleetCommand.Assignment(new KeyRange(next, range.to()), from, to, ""));
    }
    return result;
  }
}
