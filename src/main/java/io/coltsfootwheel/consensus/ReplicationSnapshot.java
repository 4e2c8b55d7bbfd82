package io.coltsfootwheel.consensus;

/**
 * State machine and configuration as of one log index.
 *
 * @param index last log index that the snapshot includes
 * @param term term of the entry at that index
 * @param configuration configuration in force at that index
 * @param bytes state of the state machine
 */
public record ReplicationSnapshot(
    long index, long term, Configuration configuration, byte[] bytes) {}
