package io.coltsfootwheel.consensus;

import java.util.List;
import java.util.Optional;

/** Receives entries and snapshots from the leader. */
final class LogFollower {
  private final MemberCore core;
  private Optional<SnapshotAssembly> assembly = Optional.empty();

  LogFollower(MemberCore core) {
    this.core = core;
  }

  void onAppend(MemberId from, ReplicationMessage.AppendRequest request) {
    long previous = request.previousIndex();
    boolean matches =
        previous < core.log.baseIndex() || core.log.termAt(previous) == request.previousTerm();
    if (!matches) {
      respond(from, request.round(), false, retryAfter(previous), previous);
      return;
    }
    store(request.entries());
    long match = previous + request.entries().size();
    core.commitTo(Math.min(request.commitIndex(), match));
    if (request.entries().isEmpty() && core.outbox.promisesDurable()) {
      // A heartbeat is acknowledged during a slow sync, so that the leader keeps its quorum.
      long durable = Math.min(match, core.outbox.durableIndex());
      core.outbox.sendNow(from, response(request.round(), true, durable, 0));
    } else {
      respond(from, request.round(), true, match, 0);
    }
  }

  private void store(List<LogEntry> entries) {
    int position = 0;
    while (position < entries.size() && isStored(entries.get(position))) {
      position++;
    }
    if (position < entries.size()) {
      List<LogEntry> missing = List.copyOf(entries.subList(position, entries.size()));
      long first = missing.get(0).index();
      core.append(missing, first <= core.log.lastIndex() ? first : 0);
    }
  }

  private boolean isStored(LogEntry entry) {
    return entry.index() <= core.log.baseIndex() || core.log.termAt(entry.index()) == entry.term();
  }

  /** Returns the index before the conflicting term, so that the leader skips the whole term. */
  private long retryAfter(long previous) {
    if (previous > core.log.lastIndex()) {
      return core.log.lastIndex();
    }
    long conflicting = core.log.termAt(previous);
    long index = previous;
    while (index > core.commitIndex() && core.log.termAt(index) == conflicting) {
      index--;
    }
    return index;
  }

  private void respond(MemberId to, long round, boolean accepted, long match, long rejected) {
    core.outbox.sendDurably(to, response(round, accepted, match, rejected));
  }

  private ReplicationMessage response(long round, boolean accepted, long match, long rejected) {
    return new ReplicationMessage.AppendResponse(core.term(), round, accepted, match, rejected);
  }

  void onSnapshotChunk(MemberId from, ReplicationMessage.SnapshotChunk chunk) {
    if (chunk.index() <= core.commitIndex()
        || core.log.termAt(chunk.index()) == chunk.entryTerm()) {
      core.commitTo(chunk.index());
      assembly = Optional.empty();
      respond(from, chunk.round(), true, chunk.index(), 0);
      return;
    }
    SnapshotAssembly current =
        assembly.filter(a -> a.accepts(chunk)).orElseGet(() -> new SnapshotAssembly(chunk));
    assembly = Optional.of(current);
    current.add(chunk);
    if (current.isComplete()) {
      assembly = Optional.empty();
      core.replaceLog(current.snapshot());
      respond(from, chunk.round(), true, chunk.index(), 0);
    } else {
      core.outbox.sendDurably(
          from,
          new ReplicationMessage.SnapshotChunkResponse(
              core.term(), chunk.round(), chunk.index(), current.nextOffset()));
    }
  }
}
