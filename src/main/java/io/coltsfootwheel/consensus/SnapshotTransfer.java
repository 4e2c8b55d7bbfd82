package io.coltsfootwheel.consensus;

import java.util.Arrays;

/** Snapshot being sent to one member, one chunk at a time. */
final class SnapshotTransfer {
  private final ReplicationSnapshot snapshot;
  private int offset;

  SnapshotTransfer(ReplicationSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  ReplicationSnapshot snapshot() {
    return snapshot;
  }

  /**
   * Moves to the offset that the member lacks. Returns false for a repeated response, so that no
   * chunk is sent twice.
   */
  boolean advance(long index, int nextOffset) {
    boolean isAdvanced = index == snapshot.index() && nextOffset != offset;
    if (isAdvanced) {
      offset = Math.min(nextOffset, snapshot.bytes().length);
    }
    return isAdvanced;
  }

  ReplicationMessage chunk(long term, long round, int maxBytes) {
    int endOffset = Math.min(snapshot.bytes().length, offset + maxBytes);
    return new ReplicationMessage.SnapshotChunk(
        term,
        round,
        snapshot.index(),
        snapshot.term(),
        snapshot.configuration(),
        offset,
        snapshot.bytes().length,
        Arrays.copyOfRange(snapshot.bytes(), offset, endOffset));
  }
}
