package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Identities of the requests that one dispatcher accepted. Section 7 of docs/design.md has the
 * table of decisions.
 *
 * <p>A record is kept from the acceptance of a request until the retention time after its end. The
 * record of a request that was not run is removed at once.
 */
final class IdentityTable {
  private static final long NO_STAMP = -1;

  /** Reason for refusing a request because of its identity. */
  record Refusal(ErrorKind kind, String detail) {}

  private enum State {
    RUNNING,
    DONE,
    UNKNOWN
  }

  /** Holds plain fields instead of a {@link RequestIdentity}, to use less memory per record. */
  private static final class IdentityRecord {
    private final String value;
    private final long stamp;
    private State state = State.RUNNING;
    private short httpStatus;
    private ErrorKind unknownOutcomeKind;
    private long endNanos;

    private IdentityRecord(RequestIdentity identity) {
      this.value = identity.value();
      this.stamp = identity.stamp().orElse(NO_STAMP);
    }
  }

  private final Map<String, IdentityRecord> records = new HashMap<>();
  private final ArrayDeque<IdentityRecord> endedRecords = new ArrayDeque<>();
  private final int maxRecords;
  private final long retentionNanos;
  private final long createdNanos;
  private long highestExpiredStamp = NO_STAMP;

  IdentityTable(DispatchSettings settings, long createdNanos) {
    this.maxRecords = settings.maxIdentityRecords();
    this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(settings.identityRetentionMillis());
    this.createdNanos = createdNanos;
  }

  /**
   * Decides whether a request may run, and records its identity as running when it may.
   *
   * @param nowNanos time of the event
   * @param identity identity of the request
   * @param idempotent true when a request that has ended may be executed again
   * @param fence the higher of the dispatch fence and the ownership fence of the hash slot
   * @param ownedSinceNanos time at which the dispatcher first observed that the target owns the
   *     hash slot
   * @return the reason for refusing the request, or empty
   */
  Optional<Refusal> begin(
      long nowNanos,
      RequestIdentity identity,
      boolean idempotent,
      long fence,
      long ownedSinceNanos) {
    expire(nowNanos);
    IdentityRecord identityRecord = records.get(identity.value());
    if (identityRecord != null) {
      Optional<Refusal> refusal = refusalOfResend(identityRecord, idempotent);
      if (refusal.isPresent()) {
        return refusal;
      }
    } else if (!isFirstSend(nowNanos, identity, fence, ownedSinceNanos)) {
      return Optional.of(
          new Refusal(
              ErrorKind.IDENTITY_TOO_OLD,
              "the identity may be older than the identity records of this dispatcher"));
    } else if (records.size() >= maxRecords) {
      return Optional.of(
          new Refusal(ErrorKind.OVERLOADED, "the table of identity records is full"));
    }
    records.put(identity.value(), new IdentityRecord(identity));
    return Optional.empty();
  }

  /** Removes the record of a request that was not run. */
  void remove(RequestIdentity identity) {
    records.remove(identity.value());
  }

  void recordCompleted(long nowNanos, RequestIdentity identity, int httpStatus) {
    IdentityRecord identityRecord = recordEnd(nowNanos, identity, State.DONE);
    identityRecord.httpStatus = (short) httpStatus;
  }

  void recordUnknown(long nowNanos, RequestIdentity identity, ErrorKind kind) {
    IdentityRecord identityRecord = recordEnd(nowNanos, identity, State.UNKNOWN);
    identityRecord.unknownOutcomeKind = kind;
  }

  int size() {
    return records.size();
  }

  /** Removes records whose retention time has passed. */
  void expire(long nowNanos) {
    while (!endedRecords.isEmpty()
        && nowNanos - endedRecords.peekFirst().endNanos >= retentionNanos) {
      IdentityRecord identityRecord = endedRecords.removeFirst();
      if (records.remove(identityRecord.value, identityRecord)) {
        highestExpiredStamp = Math.max(highestExpiredStamp, identityRecord.stamp);
      }
    }
  }

  /**
   * Tells whether an identity without a record counts as sent for the first time. A stamp has to be
   * at least the fence and higher than the stamps of all expired records. An unstamped identity
   * counts as first once this dispatcher has served the hash slot for the retention time, because a
   * record of an earlier dispatcher would have expired by then, too.
   */
  private boolean isFirstSend(
      long nowNanos, RequestIdentity identity, long fence, long ownedSinceNanos) {
    if (identity.stamp().isPresent()) {
      long lowestAcceptedStamp = Math.max(fence, highestExpiredStamp + 1);
      return identity.stamp().getAsLong() >= lowestAcceptedStamp;
    }
    return nowNanos - Math.max(createdNanos, ownedSinceNanos) >= retentionNanos;
  }

  private Optional<Refusal> refusalOfResend(IdentityRecord identityRecord, boolean idempotent) {
    if (identityRecord.state == State.RUNNING) {
      return Optional.of(
          new Refusal(ErrorKind.IDENTITY_IN_USE, "a request with this identity is running"));
    }
    if (idempotent) {
      return Optional.empty();
    }
    if (identityRecord.state == State.DONE) {
      return Optional.of(
          new Refusal(
              ErrorKind.IDENTITY_ALREADY_RUN,
              "the request was answered with HTTP status " + identityRecord.httpStatus));
    }
    return Optional.of(
        new Refusal(
            identityRecord.unknownOutcomeKind,
            "the outcome of an earlier request with this identity is unknown"));
  }

  /** Records the end of a request; a second end, by a late reply, restarts the retention time. */
  private IdentityRecord recordEnd(long nowNanos, RequestIdentity identity, State state) {
    IdentityRecord identityRecord = new IdentityRecord(identity);
    identityRecord.state = state;
    identityRecord.endNanos = nowNanos;
    records.put(identity.value(), identityRecord);
    endedRecords.addLast(identityRecord);
    return identityRecord;
  }
}
