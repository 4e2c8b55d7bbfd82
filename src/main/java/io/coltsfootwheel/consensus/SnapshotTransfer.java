package io.coltsfootwheel.consensus;

import java.util.Arrays;

/** Snapshot on its way to one member, one chunk at a time. */
final class SnapshotTransfer {
  private final ReplicationSnapshot snapshot;
  private int offset;

  SnapshotTransfer(ReplicationSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  ReplicationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns true when another chunk is due; a repeated response must not send it twice. */
  boolean advance(long index, int nextOffset) {
    boolean advances = index == snapshot.index() && nextOffset != offset;
    if (advances) {
      offset = Math.min(nextOffset, snapshot.bytes().length);
    }
    return advances;
  }

  ReplicationMessage chunk(long term, long round, int maxBytes) {
    int end = Math.min(snapshot.bytes().length, offset + maxBytes);
    return new ReplicationMessage.SnapshotChunk(
        term,
        round,
        snapshot.index(),
        snapshot.term(),
        snapshot.configuration(),
        offset,
        snapshot.bytes().length,
        Arrays.copyOfRange(snapshot.bytes(), offset, end));
  }
}
