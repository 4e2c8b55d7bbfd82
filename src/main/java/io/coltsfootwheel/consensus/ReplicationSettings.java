package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Settings of a member.
 *
 * @param self this member
 * @param initialMembers instances that make up the group at bootstrap
 * @param repairsReplacedDisks true when the leader replaces the identity of a voter whose instance
 *     turns up with a new disk
 * @param seed seed of the random election timeouts
 * @param heartbeatNanos interval between heartbeats
 * @param electionMinNanos shortest election timeout
 * @param electionMaxNanos longest election timeout
 * @param maxBatchEntries most entries in one message
 * @param maxBatchBytes most bytes of entries in one message, except for a single larger entry
 * @param maxUncommitted most entries of a leader that wait for their commit
 * @param snapshotChunkBytes size of a snapshot chunk, at most 256 KiB
 * @param retainedEntries entries kept before a snapshot for followers that are slightly behind
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
    int retainedEntries) {
  /** Largest snapshot chunk; longer ones would delay heartbeats on the same connection. */
  public static final int MAX_SNAPSHOT_CHUNK_BYTES = 256 * 1024;

  /** Copies the members and checks the sizes. */
  public ReplicationSettings {
    initialMembers = initialMembers.stream().sorted().toList();
    if (snapshotChunkBytes < 1 || snapshotChunkBytes > MAX_SNAPSHOT_CHUNK_BYTES) {
      throw new IllegalArgumentException("snapshotChunkBytes " + snapshotChunkBytes);
    }
    if (maxBatchEntries < 1 || heartbeatNanos < 1 || electionMaxNanos <= electionMinNanos) {
      throw new IllegalArgumentException("batch or timeout settings out of range");
    }
  }

  /**
   * Returns the settings of docs/design.md.
   *
   * @param self this member
   * @param initialMembers instances that make up the group at bootstrap
   * @param repairsReplacedDisks whether the leader replaces the identities of lost disks
   * @param seed seed of the random election timeouts
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
        1_024);
  }
}
