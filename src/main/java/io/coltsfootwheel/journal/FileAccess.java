package io.coltsfootwheel.journal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** File operations of the journal, as an interface so that tests can make a write or sync fail. */
public interface FileAccess {
  /**
   * Returns access to the files of the operating system.
   *
   * @return the access
   */
  static FileAccess system() {
    return new SystemFileAccess();
  }

  /**
   * Creates a folder and its parents unless they exist.
   *
   * @param folder the folder
   * @throws IOException when it cannot be created
   */
  void createFolder(Path folder) throws IOException;

  /**
   * Locks a file against other processes and other journals of this process.
   *
   * @param file the lock file
   * @return the lock, released by closing it
   * @throws IOException when the file is locked already
   */
  AutoCloseable lock(Path file) throws IOException;

  /**
   * Lists the names of the files in a folder.
   *
   * @param folder the folder
   * @return the names in alphabetical order
   * @throws IOException when it cannot be read
   */
  List<String> list(Path folder) throws IOException;

  /**
   * Opens a file for reading from its start.
   *
   * @param file the file
   * @return its bytes
   * @throws IOException when it cannot be opened
   */
  InputStream read(Path file) throws IOException;

  /**
   * Opens a file for appending and creates it when missing.
   *
   * @param file the file
   * @return the file, positioned at its end
   * @throws IOException when it cannot be opened
   */
  AppendFile append(Path file) throws IOException;

  /**
   * Renames a file, replacing the destination.
   *
   * @param from the current name
   * @param to the new name
   * @throws IOException when it cannot be renamed
   */
  void rename(Path from, Path to) throws IOException;

  /**
   * Deletes a file.
   *
   * @param file the file
   * @throws IOException when it cannot be deleted
   */
  void delete(Path file) throws IOException;

  /**
   * Syncs the directory entries of a folder, so that created, renamed and deleted files survive a
   * crash.
   *
   * @param folder the folder
   * @throws IOException when the sync fails
   */
  void syncFolder(Path folder) throws IOException;

  /** File opened for appending. */
  interface AppendFile extends AutoCloseable {
    /**
     * Appends all bytes of a buffer.
     *
     * @param bytes the buffer
     * @throws IOException when the write fails
     */
    void write(ByteBuffer bytes) throws IOException;

    /**
     * Truncates the file and continues at its new end.
     *
     * @param sizeBytes the new size
     * @throws IOException when it cannot be truncated
     */
    void truncate(long sizeBytes) throws IOException;

    /**
     * Syncs content and size to the disk.
     *
     * @throws IOException when the sync fails
     */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }
}
