package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;

/**
 * Move of a range to another owner; not replicated, so a new leader starts without moves.
 *
 * @param service the service
 * @param range the keys
 * @param from the owner that has to release them
 * @param incarnationMillis incarnation of that owner
 * @param omittedSequence sequence number of the report whose answer first omitted the range
 * @param releaseByNanos time at which the last lease that includes the range expires
 * @param assignmentProposed true once the assignment to a new owner has been proposed
 * @param handoverTokens tokens of the parts that the owner has released so far
 * @param reason why the range moves, for the log
 */
public record RangeMove(
    ServiceName service,
    KeyRange range,
    TargetId from,
    long incarnationMillis,
    long omittedSequence,
    long releaseByNanos,
    boolean assignmentProposed,
    List<ReleasedRange> handoverTokens,
    String reason) {
  /** Copies the list. */
  public RangeMove {
    handoverTokens = List.copyOf(handoverTokens);
  }

  /** Returns whether another record describes the same move, perhaps at an earlier time. */
  boolean isSameMove(RangeMove other) {
    return service.equals(other.service)
        && range.equals(other.range)
        && from.equals(other.from)
        && incarnationMillis == other.incarnationMillis
        && omittedSequence == other.omittedSequence;
  }

  RangeMove withAssignmentProposed() {
    return new RangeMove(
        service,
        range,
        from,
        incarnationMillis,
        omittedSequence,
        releaseByNanos,
        true,
        handoverTokens,
        reason);
  }

  /** Returns this move with the handover tokens of further parts that the owner has released. */
  RangeMove withReleased(List<ReleasedRange> parts) {
    List<ReleasedRange> all = new ArrayList<>(handoverTokens);
    parts.stream().filter(p -> !all.contains(p)).forEach(all::add);
    return new RangeMove(
        service,
        range,
        from,
        incarnationMillis,
        omittedSequence,
        releaseByNanos,
        assignmentProposed,
        all,
        reason);
  }
}
