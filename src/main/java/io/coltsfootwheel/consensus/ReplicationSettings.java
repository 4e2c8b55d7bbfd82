package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Settings of one member of the replication group.
 *
 * @param self this member
 * @param initialMembers instances that form the group at bootstrap
 * @param repairsReplacedDisks whether the leader replaces the identity of a member whose instance
 *     returns with a new disk
 * @param seed seed of the randomized election timeouts
 * @param heartbeatNanos interval between heartbeats
 * @param electionMinNanos shortest election timeout
 * @param electionMaxNanos longest election timeout
 * @param maxBatchEntries maximum number of entries in one message
 * @param maxBatchBytes maximum size of the entries in one message, which a single entry may exceed
 * @param maxUncommitted maximum number of uncommitted entries of a leader; further proposals are
 *     rejected
 * @param snapshotChunkBytes size of a snapshot chunk, at most {@link #MAX_SNAPSHOT_CHUNK_BYTES}
 *     (256 KiB)
 * @param retainedEntries number of entries kept before a snapshot, so that followers slightly
 *     behind need no snapshot
 * @param retainedBytes maximum size of the entries kept before a snapshot
 */
public record ReplicationSettings(
    MemberId self,
    List<InstanceId> initialMembers,
    boolean repairsReplacedDisks,
    long seed,
    long heartbeatNanos,
    long electionMinNanos,
    long electionMaxNanos,
    int maxBatchEntries,
    int maxBatchBytes,
    int maxUncommitted,
    int snapshotChunkBytes,
    int retainedEntries,
    long retainedBytes) {
  /** Maximum size of a snapshot chunk; larger ones would delay heartbeats on the connection. */
  public static final int MAX_SNAPSHOT_CHUNK_BYTES = 256 * 1024;

  /** Default size of the entries that are kept before a snapshot. */
  public static final long DEFAULT_RETAINED_BYTES = 2 * 1024 * 1024;

  /** Sorts the members and checks sizes and times. */
  public ReplicationSettings {
    initialMembers = initialMembers.stream().sorted().toList();
    if (snapshotChunkBytes < 1 || snapshotChunkBytes > MAX_SNAPSHOT_CHUNK_BYTES) {
      throw new IllegalArgumentException(
          "snapshotChunkBytes must be from 1 to 262144, but is " + snapshotChunkBytes);
    }
    if (maxBatchEntries < 1 || heartbeatNanos < 1 || electionMaxNanos <= electionMinNanos) {
      throw new IllegalArgumentException(
          "maxBatchEntries and heartbeatNanos must be positive, and electionMinNanos to"
              + " electionMaxNanos must be a non-empty range");
    }
  }

  /**
   * Returns the default settings, as given in docs/design.md.
   *
   * @param self this member
   * @param initialMembers instances that form the group at bootstrap
   * @param repairsReplacedDisks whether the leader replaces the identity of a member whose instance
   *     returns with a new disk
   * @param seed seed of the randomized election timeouts
   * @return the settings
   */
  public static ReplicationSettings of(
      MemberId self, List<InstanceId> initialMembers, boolean repairsReplacedDisks, long seed) {
    return new ReplicationSettings(
        self,
        initialMembers,
        repairsReplacedDisks,
        seed,
        TimeUnit.MILLISECONDS.toNanos(50),
        TimeUnit.MILLISECONDS.toNanos(150),
        TimeUnit.MILLISECONDS.toNanos(300),
        256,
        MAX_SNAPSHOT_CHUNK_BYTES,
        8_192,
        MAX_SNAPSHOT_CHUNK_BYTES,
        1_024,
        DEFAULT_RETAINED_BYTES);
  }
}
