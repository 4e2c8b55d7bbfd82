package io.coltsfootwheel.consensus;

/**
 * Entry of the replicated log.
 *
 * <p>Arrays are compared by reference, so entries are compared by index and term.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param kind what the bytes contain
 * @param bytes the command, or an encoded {@link Configuration}
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] bytes) {}
