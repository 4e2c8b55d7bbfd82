package io.coltsfootwheel.consensus;

import java.util.List;
import java.util.Optional;

/** Handles the entries and snapshots that the leader sends. */
final class LogFollower {
  private final MemberCore core;
  private Optional<SnapshotAssembly> assembly = Optional.empty();

  LogFollower(MemberCore core) {
    this.core = core;
  }

  void onAppend(MemberId from, ReplicationMessage.AppendRequest request) {
    long previousIndex = request.previousIndex();
    boolean matches =
        previousIndex < core.log.baseIndex()
            || core.log.termAt(previousIndex) == request.previousTerm();
    if (!matches) {
      respondAfterSync(
          from, request.round(), false, lastIndexBeforeConflict(previousIndex), previousIndex);
      return;
    }
    appendMissing(request.entries());
    long matchIndex = previousIndex + request.entries().size();
    core.commitTo(Math.min(request.commitIndex(), matchIndex));
    if (request.entries().isEmpty() && core.outbox.isHardStateDurable()) {
      // Heartbeats are acknowledged during a slow sync, so that the leader keeps its quorum. The
      // response covers only the entries that are durable.
      long durableIndex = Math.min(matchIndex, core.outbox.durableIndex());
      core.outbox.sendImmediately(from, response(request.round(), true, durableIndex, 0));
    } else {
      respondAfterSync(from, request.round(), true, matchIndex, 0);
    }
  }

  /** Appends the entries that are not in the log; they replace entries that conflict with them. */
  private void appendMissing(List<LogEntry> entries) {
    int position = 0;
    while (position < entries.size() && isInLog(entries.get(position))) {
      position++;
    }
    if (position < entries.size()) {
      List<LogEntry> missing = List.copyOf(entries.subList(position, entries.size()));
      long firstIndex = missing.get(0).index();
      core.append(missing, firstIndex <= core.log.lastIndex() ? firstIndex : 0);
    }
  }

  private boolean isInLog(LogEntry entry) {
    return entry.index() <= core.log.baseIndex() || core.log.termAt(entry.index()) == entry.term();
  }

  /** Returns the index before the conflicting term, so that the leader skips the whole term. */
  private long lastIndexBeforeConflict(long previousIndex) {
    if (previousIndex > core.log.lastIndex()) {
      return core.log.lastIndex();
    }
    long conflictingTerm = core.log.termAt(previousIndex);
    long index = previousIndex;
    while (index > core.commitIndex() && core.log.termAt(index) == conflictingTerm) {
      index--;
    }
    return index;
  }

  private void respondAfterSync(
      MemberId to, long round, boolean accepted, long matchIndex, long rejectedIndex) {
    core.outbox.sendAfterSync(to, response(round, accepted, matchIndex, rejectedIndex));
  }

  private ReplicationMessage response(
      long round, boolean accepted, long matchIndex, long rejectedIndex) {
    return new ReplicationMessage.AppendResponse(
        core.term(), round, accepted, matchIndex, rejectedIndex);
  }

  void onSnapshotChunk(MemberId from, ReplicationMessage.SnapshotChunk chunk) {
    if (chunk.index() <= core.commitIndex()
        || core.log.termAt(chunk.index()) == chunk.entryTerm()) {
      core.commitTo(chunk.index());
      assembly = Optional.empty();
      respondAfterSync(from, chunk.round(), true, chunk.index(), 0);
      return;
    }
    SnapshotAssembly current =
        assembly.filter(a -> a.accepts(chunk)).orElseGet(() -> new SnapshotAssembly(chunk));
    assembly = Optional.of(current);
    current.add(chunk);
    if (current.isComplete()) {
      assembly = Optional.empty();
      core.replaceLog(current.snapshot());
      respondAfterSync(from, chunk.round(), true, chunk.index(), 0);
    } else {
      core.outbox.sendAfterSync(
          from,
          new ReplicationMessage.SnapshotChunkResponse(
              core.term(), chunk.round(), chunk.index(), current.nextOffset()));
    }
  }
}
