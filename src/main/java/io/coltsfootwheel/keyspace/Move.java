package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;

/**
 * Range on its way to another owner; exists only in the memory of the leader.
 *
 * @param service the service
 * @param range the keys
 * @param from the owner that has to release them
 * @param bornMillis life of that owner
 * @param omittedSequence report whose answer left the range out
 * @param releaseByNanos time at which the last lease with the range has ended
 * @param assigning true once the new owner has been proposed
 * @param reason why the range moves, for the log
 */
public record Move(
    ServiceName service,
    KeyRange range,
    TargetId from,
    long bornMillis,
    long omittedSequence,
    long releaseByNanos,
    boolean assigning,
    String reason) {
  Move assigned() {
    return new Move(
        service, range, from, bornMillis, omittedSequence, releaseByNanos, true, reason);
  }
}
