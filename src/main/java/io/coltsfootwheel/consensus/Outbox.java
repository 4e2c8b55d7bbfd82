package io.coltsfootwheel.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Effects of the event being processed, and messages held back until the writes that they depend on
 * are synced.
 */
final class Outbox {
  /** Write that is not synced yet; once it is, the log is durable up to the last index. */
  private record PendingWrite(long sequence, long lastIndex, boolean includesHardState) {}

  private record WaitingMessage(long sequence, MemberId to, ReplicationMessage message) {}

  private final MemberId self;
  private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private final Deque<WaitingMessage> waitingMessages = new ArrayDeque<>();
  private List<ReplicationEffect> effects = new ArrayList<>();
  private long lastSequence;
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

  /** Returns the index up to which the current log is synced. */
  long durableIndex() {
    return durableIndex;
  }

  /** Tells whether the latest term and vote are synced. */
  boolean isHardStateDurable() {
    return pendingWrites.stream().noneMatch(PendingWrite::includesHardState);
  }

  void persist(
      Optional<HardState> hardState, long truncateFrom, List<LogEntry> entries, long lastIndex) {
    if (truncateFrom > 0) {
      capDurableIndex(truncateFrom - 1);
    }
    lastSequence++;
    pendingWrites.add(new PendingWrite(lastSequence, lastIndex, hardState.isPresent()));
    emit(new ReplicationEffect.Persist(lastSequence, hardState, truncateFrom, entries));
  }

  void persistSnapshot(
      ReplicationSnapshot snapshot, long firstRetainedIndex, boolean replacesLog, long lastIndex) {
    if (replacesLog) {
      capDurableIndex(0);
    }
    lastSequence++;
    pendingWrites.add(new PendingWrite(lastSequence, lastIndex, false));
    emit(
        new ReplicationEffect.PersistSnapshot(
            lastSequence, snapshot, firstRetainedIndex, replacesLog));
  }

  /**
   * Caps the durable index, also that of pending writes: later entries were dropped from the log,
   * so the end of their sync does not make the current log durable.
   */
  private void capDurableIndex(long index) {
    durableIndex = Math.min(durableIndex, index);
    List<PendingWrite> capped =
        pendingWrites.stream()
            .map(
                w ->
                    new PendingWrite(w.sequence, Math.min(w.lastIndex, index), w.includesHardState))
            .toList();
    pendingWrites.clear();
    pendingWrites.addAll(capped);
  }

  void sendImmediately(MemberId to, ReplicationMessage message) {
    emit(new ReplicationEffect.Send(to, message));
  }

  /** Sends a message once all writes requested so far are synced. */
  void sendAfterSync(MemberId to, ReplicationMessage message) {
    if (pendingWrites.isEmpty()) {
      sendImmediately(to, message);
    } else {
      waitingMessages.add(new WaitingMessage(lastSequence, to, message));
    }
  }

  /**
   * Handles the end of a sync: sends the messages that waited for it, and returns those that are
   * addressed to this member.
   */
  List<ReplicationMessage> onPersisted(long sequence) {
    while (!pendingWrites.isEmpty() && pendingWrites.peekFirst().sequence <= sequence) {
      durableIndex = pendingWrites.pollFirst().lastIndex;
    }
    List<ReplicationMessage> messagesToSelf = new ArrayList<>();
    while (!waitingMessages.isEmpty() && waitingMessages.peekFirst().sequence <= sequence) {
      WaitingMessage next = waitingMessages.pollFirst();
      if (next.to.equals(self)) {
        messagesToSelf.add(next.message);
      } else {
        sendImmediately(next.to, next.message);
      }
    }
    return messagesToSelf;
  }

  void discard() {
    pendingWrites.clear();
    waitingMessages.clear();
    effects.clear();
  }
}
