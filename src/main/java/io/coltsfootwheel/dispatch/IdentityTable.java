package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Identities of the requests that one dispatcher accepted; docs/design.md section 7 has the table
 * of decisions.
 *
 * <p>A record lives from the acceptance of a request until the retention time after its end. A
 * request that ends as not run leaves none.
 */
final class IdentityTable {
  private static final long NO_STAMP = -1;

  /** Refusal of a request because of its identity. */
  record Refusal(ErrorKind kind, String detail) {}

  private enum State {
    RUNNING,
    DONE,
    UNKNOWN
  }

  /** Fields instead of the request's objects keep a record small; there are many. */
  private static final class Entry {
    private final String value;
    private final long stamp;
    private State state = State.RUNNING;
    private short httpStatus;
    private ErrorKind unknownKind;
    private long endedNanos;

    private Entry(RequestIdentity identity) {
      this.value = identity.value();
      this.stamp = identity.stamp().orElse(NO_STAMP);
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private final ArrayDeque<Entry> ended = new ArrayDeque<>();
  private final int maxRecords;
  private final long retentionNanos;
  private final long createdNanos;
  private long droppedStamp = NO_STAMP;

  IdentityTable(DispatchSettings settings, long createdNanos) {
    this.maxRecords = settings.identityRecords();
    this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(settings.identityRetentionMillis());
    this.createdNanos = createdNanos;
  }

  /**
   * Decides whether a request may run, and records its identity as running when it may.
   *
   * @param nowNanos time of the event
   * @param identity identity of the request
   * @param idempotent true when an ended request may run again
   * @param fence the higher of the dispatch fence and the ownership fence of the hash slot
   * @param ownedSinceNanos time at which the dispatcher saw the ownership of the hash slot begin
   * @return why it may not run, or empty
   */
  Optional<Refusal> begin(
      long nowNanos,
      RequestIdentity identity,
      boolean idempotent,
      long fence,
      long ownedSinceNanos) {
    expire(nowNanos);
    Entry entry = entries.get(identity.value());
    if (entry != null) {
      Optional<Refusal> refusal = refusalOfResend(entry, idempotent);
      if (refusal.isPresent()) {
        return refusal;
      }
    } else if (!isFirstSend(nowNanos, identity, fence, ownedSinceNanos)) {
      return Optional.of(
          new Refusal(ErrorKind.IDENTITY_TOO_OLD, "the identity is older than the records"));
    } else if (entries.size() >= maxRecords) {
      return Optional.of(new Refusal(ErrorKind.OVERLOADED, "the table of identities is full"));
    }
    entries.put(identity.value(), new Entry(identity));
    return Optional.empty();
  }

  /** Removes the record of a request that was not run. */
  void forget(RequestIdentity identity) {
    entries.remove(identity.value());
  }

  void completed(long nowNanos, RequestIdentity identity, int httpStatus) {
    Entry entry = end(nowNanos, identity, State.DONE);
    entry.httpStatus = (short) httpStatus;
  }

  void unknown(long nowNanos, RequestIdentity identity, ErrorKind kind) {
    Entry entry = end(nowNanos, identity, State.UNKNOWN);
    entry.unknownKind = kind;
  }

  int size() {
    return entries.size();
  }

  /** Drops records whose retention time has passed. */
  void expire(long nowNanos) {
    while (!ended.isEmpty() && nowNanos - ended.peekFirst().endedNanos >= retentionNanos) {
      Entry entry = ended.removeFirst();
      if (entries.remove(entry.value, entry)) {
        droppedStamp = Math.max(droppedStamp, entry.stamp);
      }
    }
  }

  private boolean isFirstSend(
      long nowNanos, RequestIdentity identity, long fence, long ownedSinceNanos) {
    if (identity.stamp().isPresent()) {
      long knownSince = Math.max(fence, droppedStamp + 1);
      return identity.stamp().getAsLong() >= knownSince;
    }
    return nowNanos - Math.max(createdNanos, ownedSinceNanos) >= retentionNanos;
  }

  private Optional<Refusal> refusalOfResend(Entry entry, boolean idempotent) {
    if (entry.state == State.RUNNING) {
      return Optional.of(
          new Refusal(ErrorKind.IDENTITY_IN_USE, "a request with this identity is running"));
    }
    if (idempotent) {
      return Optional.empty();
    }
    if (entry.state == State.DONE) {
      return Optional.of(
          new Refusal(
              ErrorKind.IDENTITY_ALREADY_RUN,
              "the request was answered with HTTP status " + entry.httpStatus));
    }
    return Optional.of(
        new Refusal(entry.unknownKind, "an earlier send of this identity has no known outcome"));
  }

  /** Ends a request; a record that ends a second time starts a new retention time. */
  private Entry end(long nowNanos, RequestIdentity identity, State state) {
    Entry entry = new Entry(identity);
    entry.state = state;
    entry.endedNanos = nowNanos;
    entries.put(identity.value(), entry);
    ended.addLast(entry);
    return entry;
  }
}
