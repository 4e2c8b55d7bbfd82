package io.coltsfootwheel.consensus;

/**
 * Tells when a member takes the next snapshot: after a number of commands, or earlier when the
 * commands since the last snapshot are large.
 *
 * <p>Usage: {@code if (schedule.recordCommand(bytes.length)) takeSnapshot();}.
 */
public final class SnapshotSchedule {
  /**
   * Size of the commands after which a snapshot is due, in bytes. The commands since the last
   * snapshot stay in memory, and are read at the start.
   */
  public static final long MAX_COMMAND_BYTES = 4 * 1024 * 1024;

  private final int maxCommands;
  private final long maxCommandBytes;
  private int commands;
  private long commandBytes;

  /**
   * Creates a schedule that begins at a snapshot.
   *
   * @param maxCommands number of commands after which a snapshot is due
   * @param maxCommandBytes size of the commands after which a snapshot is due, in bytes
   */
  public SnapshotSchedule(int maxCommands, long maxCommandBytes) {
    this.maxCommands = maxCommands;
    this.maxCommandBytes = maxCommandBytes;
  }

  /**
   * Records that a command was applied.
   *
   * @param bytes size of the command
   * @return whether a snapshot is due now; the count begins again then
   */
  public boolean recordCommand(int bytes) {
    commands++;
    commandBytes += bytes;
    boolean isDue = commands >= maxCommands || commandBytes >= maxCommandBytes;
    if (isDue) {
      reset();
    }
    return isDue;
  }

  /**
   * Returns how many commands were recorded since the last snapshot.
   *
   * @return the number
   */
  public int commands() {
    return commands;
  }

  /**
   * Returns the size of the commands that were recorded since the last snapshot.
   *
   * @return the size in bytes
   */
  public long commandBytes() {
    return commandBytes;
  }

  /** Begins the count again, because a snapshot was installed. */
  public void reset() {
    commands = 0;
    commandBytes = 0;
  }
}
