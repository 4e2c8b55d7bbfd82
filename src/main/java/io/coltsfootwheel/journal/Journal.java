package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import java.nio.file.Path;
import java.util.List;

/**
 * Durable state of one member in one folder.
 *
 * <p>Usage: {@code try (Journal journal = Journal.open(folder)) { journal.persist(List.of(effect));
 * }}. Instances are not safe for use by several threads.
 */
public interface Journal extends AutoCloseable {
  /**
   * Opens the journal of a folder, and creates it when the folder is empty or missing.
   *
   * @param folder the data folder
   * @return the journal
   * @throws io.coltsfootwheel.model.ColtsfootwheelException with JOURNAL_CORRUPT for damage,
   *     UNSUPPORTED_VERSION for a newer format, JOURNAL_FAILED when the folder is in use or a file
   *     operation fails
   */
  static Journal open(Path folder) {
    return open(folder, FileAccess.system());
  }

  /**
   * Opens the journal of a folder with another access to files.
   *
   * @param folder the data folder
   * @param files access to files
   * @return the journal
   */
  static Journal open(Path folder, FileAccess files) {
    return SegmentedJournal.open(folder, files);
  }

  /**
   * Returns the random identity that was written when the folder was created.
   *
   * @return 32 hexadecimal digits
   */
  String diskId();

  /**
   * Returns what the folder contained when it was opened. The first write releases it, so that the
   * log is not kept in memory.
   *
   * @return promises, snapshot and entries
   * @throws IllegalStateException after the first write
   */
  DurableState recovered();

  /**
   * Writes effects in order and syncs them once before it returns.
   *
   * @param effects effects with increasing sequence numbers
   * @throws io.coltsfootwheel.model.ColtsfootwheelException with JOURNAL_FAILED when a write or
   *     sync fails, and on each call after that
   */
  void persist(List<ReplicationEffect.Persist> effects);

  /**
   * Writes a snapshot and drops entries that it makes unnecessary, synced before it returns.
   *
   * @param effect the snapshot
   * @throws io.coltsfootwheel.model.ColtsfootwheelException with JOURNAL_FAILED when a write or
   *     sync fails, and on each call after that
   */
  void persistSnapshot(ReplicationEffect.PersistSnapshot effect);

  @Override
  void close();
}
