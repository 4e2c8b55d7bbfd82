package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.nio.file.Path;
import java.util.List;

/**
 * Durable state of one member of the replication group, stored in one folder.
 *
 * <p>Usage: {@code try (Journal journal = Journal.open(folder)) { journal.persist(List.of(effect));
 * }}. Instances are not thread-safe.
 */
public interface Journal extends AutoCloseable {
  /**
   * Opens the journal in a folder, or creates one when the folder is empty or missing.
   *
   * @param folder the data folder
   * @return the journal
   * @throws io.coltsfootwheel.model.ColtsfootwheelException with JOURNAL_CORRUPT when a file is
   *     damaged or missing, UNSUPPORTED_VERSION when a file has a newer format, JOURNAL_FAILED when
   *     the folder is in use or a file operation fails
   */
  static Journal open(Path folder) {
    return open(folder, FileAccess.system());
  }

  /**
   * Opens the journal in a folder with the given access to files.
   *
   * @param folder the data folder
   * @param files access to files
   * @return the journal
   */
  static Journal open(Path folder, FileAccess files) {
    return SegmentedJournal.open(folder, files);
  }

  /**
   * Returns the random identifier that was written when the folder was created.
   *
   * @return 32 hexadecimal digits
   */
  String diskId();

  /**
   * Returns the content of the folder when it was opened. The first write releases it, so that the
   * log is not kept in memory.
   *
   * @return hard state, snapshot and entries
   * @throws IllegalStateException after the first write
   */
  DurableState recovered();

  /**
   * Writes effects in order and syncs them once before it returns.
   *
   * @param effects effects with increasing sequence numbers
   * @throws io.coltsfootwheel.model.ColtsfootwheelException with JOURNAL_FAILED when a write or
   *     sync fails, and on every later call
   */
  void persist(List<ReplicationEffect.Persist> effects);

  /**
   * Writes and syncs a snapshot, and deletes segments that it makes unnecessary, before it returns.
   *
   * @param effect the snapshot
   * @throws io.coltsfootwheel.model.ColtsfootwheelException with JOURNAL_FAILED when a write or
   *     sync fails, and on every later call
   */
  void persistSnapshot(ReplicationEffect.PersistSnapshot effect);

  @Override
  void close();
}
