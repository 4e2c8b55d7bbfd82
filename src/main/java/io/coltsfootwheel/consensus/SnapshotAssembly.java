package io.coltsfootwheel.consensus;

/** Snapshot being received from the leader in chunks. */
final class SnapshotAssembly {
  private final long leaderTerm;
  private final long index;
  private final long entryTerm;
  private final GroupConfiguration configuration;
  private final byte[] bytes;
  private int nextOffset;

  SnapshotAssembly(ReplicationMessage.SnapshotChunk chunk) {
    leaderTerm = chunk.term();
    index = chunk.index();
    entryTerm = chunk.entryTerm();
    configuration = chunk.configuration();
    bytes = new byte[chunk.totalBytes()];
  }

  /**
   * Tells whether a chunk belongs to this snapshot. Chunks of two leaders are not mixed, because
   * their serialized states may differ.
   */
  boolean accepts(ReplicationMessage.SnapshotChunk chunk) {
    return chunk.term() == leaderTerm && chunk.index() == index;
  }

  void add(ReplicationMessage.SnapshotChunk chunk) {
    if (chunk.offset() == nextOffset) {
      System.arraycopy(chunk.bytes(), 0, bytes, nextOffset, chunk.bytes().length);
      nextOffset += chunk.bytes().length;
    }
  }

  boolean isComplete() {
    return nextOffset == bytes.length;
  }

  int nextOffset() {
    return nextOffset;
  }

  ReplicationSnapshot snapshot() {
    return new ReplicationSnapshot(index, entryTerm, configuration, bytes);
  }
}
