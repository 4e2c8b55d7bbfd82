package io.coltsfootwheel.consensus;

/**
 * Entry of the replicated log.
 *
 * <p>Record equality compares the array by reference; compare entries by index and term instead.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param kind content of the bytes
 * @param bytes the command, or an encoded {@link GroupConfiguration}
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] bytes) {}
