package io.coltsfootwheel.consensus;

import java.util.Arrays;

/** Snapshot being sent to one member, one chunk at a time. */
final class SnapshotTransfer {
  private final ReplicationSnapshot snapshot;
  private int offset;

  /** Round in which the chunk at the offset was sent. */
  private long sentRound;

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

  /**
   * Tells whether a response shows that the chunk at the offset was lost: it answers a later
   * message, and the member still lacks the chunk.
   */
  boolean isChunkLost(long index, int nextOffset, long round) {
    return index == snapshot.index() && nextOffset == offset && round > sentRound;
  }

  ReplicationMessage chunk(long term, long round, int maxBytes) {
    sentRound = round;
    return message(term, round, Math.min(snapshot.bytes().length, offset + maxBytes));
  }

  /** Returns a chunk without bytes; the response to it states the offset that the member lacks. */
  ReplicationMessage heartbeat(long term, long round) {
    return message(term, round, offset);
  }

  private ReplicationMessage message(long term, long round, int endOffset) {
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
