package io.coltsfootwheel.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Effects of the present event, and messages that wait for a sync because they promise something.
 */
final class Outbox {
  private record PendingWrite(long sequence, long lastIndex, boolean promises) {}

  private record WaitingMessage(long sequence, MemberId to, ReplicationMessage message) {}

  private final MemberId self;
  private final Deque<PendingWrite> writes = new ArrayDeque<>();
  private final Deque<WaitingMessage> waiting = new ArrayDeque<>();
  private List<ReplicationEffect> effects = new ArrayList<>();
  private long issuedSequence;
  private long durableIndex;

  Outbox(MemberId self, long durableIndex) {
    this.self = self;
    this.durableIndex = durableIndex;
  }

  void emit(ReplicationEffect effect) {
    effects.add(effect);
  }

  List<ReplicationEffect> drain() {
    List<ReplicationEffect> result = effects;
    effects = new ArrayList<>();
    return result;
  }

  /** Returns the index up to which the present log is synced. */
  long durableIndex() {
    return durableIndex;
  }

  /** Tells whether term and vote are synced. */
  boolean promisesDurable() {
    return writes.stream().noneMatch(PendingWrite::promises);
  }

  void persist(
      Optional<HardState> hardState, long truncateFrom, List<LogEntry> entries, long lastIndex) {
    if (truncateFrom > 0) {
      limitDurable(truncateFrom - 1);
    }
    issuedSequence++;
    writes.add(new PendingWrite(issuedSequence, lastIndex, hardState.isPresent()));
    emit(new ReplicationEffect.Persist(issuedSequence, hardState, truncateFrom, entries));
  }

  void persistSnapshot(
      ReplicationSnapshot snapshot, long firstRetained, boolean replacesLog, long lastIndex) {
    if (replacesLog) {
      limitDurable(0);
    }
    issuedSequence++;
    writes.add(new PendingWrite(issuedSequence, lastIndex, false));
    emit(
        new ReplicationEffect.PersistSnapshot(
            issuedSequence, snapshot, firstRetained, replacesLog));
  }

  /** Entries after the index belong to a log that no longer exists, even when their sync ends. */
  private void limitDurable(long index) {
    durableIndex = Math.min(durableIndex, index);
    List<PendingWrite> limited =
        writes.stream()
            .map(w -> new PendingWrite(w.sequence, Math.min(w.lastIndex, index), w.promises))
            .toList();
    writes.clear();
    writes.addAll(limited);
  }

  void sendNow(MemberId to, ReplicationMessage message) {
    emit(new ReplicationEffect.Send(to, message));
  }

  /** Sends a message once everything written so far is synced. */
  void sendDurably(MemberId to, ReplicationMessage message) {
    if (writes.isEmpty()) {
      sendNow(to, message);
    } else {
      waiting.add(new WaitingMessage(issuedSequence, to, message));
    }
  }

  /** Releases waiting messages and returns those that the member sent to itself. */
  List<ReplicationMessage> persisted(long sequence) {
    while (!writes.isEmpty() && writes.peekFirst().sequence <= sequence) {
      durableIndex = writes.pollFirst().lastIndex;
    }
    List<ReplicationMessage> own = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.peekFirst().sequence <= sequence) {
      WaitingMessage next = waiting.pollFirst();
      if (next.to.equals(self)) {
        own.add(next.message);
      } else {
        sendNow(next.to, next.message);
      }
    }
    return own;
  }

  void discard() {
    writes.clear();
    waiting.clear();
    effects.clear();
  }
}
