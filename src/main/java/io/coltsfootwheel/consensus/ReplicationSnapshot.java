package io.coltsfootwheel.consensus;

/**
 * Snapshot of the state machine and the configuration at one log index.
 *
 * @param index last log index that the snapshot includes
 * @param term term of the entry at that index
 * @param configuration configuration in force at that index
 * @param bytes serialized state of the state machine
 */
public record ReplicationSnapshot(
    long index, long term, GroupConfiguration configuration, byte[] bytes) {}
