package io.coltsfootwheel.loadcontrol;

import java.util.concurrent.TimeUnit;

/**
 * Decides how fast an entry sends large bodies, so that they leave room on its link.
 *
 * <p>Load pattern: uploads at an entry with a slow link. A body that is written at once can occupy
 * the link for a second. New connections to targets and messages to control processes that wait
 * behind it exceed their time-outs. Bodies are therefore sent in parts, one after the other, at
 * four fifths of the link's rate. Not thread-safe.
 */
public final class TransferPacer {
  /** Bodies from which on pacing matters; smaller ones take the link no longer than two parts. */
  private static final int MIN_PACED_BYTES = 16 * 1024;

  /** Time for which one part occupies the link, which is what other messages wait for at most. */
  private static final long PART_MILLIS = 20;

  /** Smallest part: what one or two packets transfer. */
  private static final int MIN_PART_BYTES = 2 * 1024;

  /** Part of the link that bodies may use; the rest is for all other messages. */
  private static final double MAX_SHARE = 0.8;

  private final double bytesPerNano;
  private long waitingBytes;

  private TransferPacer(double bytesPerNano) {
    this.bytesPerNano = bytesPerNano;
  }

  /**
   * Creates a pacer.
   *
   * @param bytesPerSecond rate of the link
   * @return the pacer
   */
  public static TransferPacer ofLink(long bytesPerSecond) {
    return new TransferPacer(MAX_SHARE * bytesPerSecond / TimeUnit.SECONDS.toNanos(1));
  }

  /**
   * Creates a pacer for a link of unknown rate.
   *
   * @return a pacer that sends all bodies at once
   */
  public static TransferPacer unlimited() {
    return new TransferPacer(Double.POSITIVE_INFINITY);
  }

  /**
   * Returns whether a body is sent in parts: it occupies the link for longer than one part.
   *
   * @param bytes size of the body
   * @return false if it may be sent at once
   */
  public boolean isPaced(long bytes) {
    return bytes >= Math.max(MIN_PACED_BYTES, partBytes());
  }

  /**
   * Returns the size of a part.
   *
   * @return bytes
   */
  public int partBytes() {
    double bytes = bytesPerNano * TimeUnit.MILLISECONDS.toNanos(PART_MILLIS);
    return (int) Math.max(MIN_PART_BYTES, Math.min(Integer.MAX_VALUE, bytes));
  }

  /**
   * Returns the time after which the next part may be sent.
   *
   * @param bytes size of the part that was sent
   * @return nanoseconds
   */
  public long nanosUntilNextPart(int bytes) {
    return (long) Math.ceil(bytes / bytesPerNano);
  }

  /**
   * Counts bytes that have to be sent.
   *
   * @param bytes the bytes
   */
  public void add(long bytes) {
    waitingBytes += bytes;
  }

  /**
   * Counts bytes that were sent, or that need not be sent any more.
   *
   * @param bytes the bytes
   */
  public void remove(long bytes) {
    waitingBytes -= bytes;
  }

  /**
   * Returns the bytes that wait to be sent.
   *
   * @return bytes
   */
  public long waitingBytes() {
    return waitingBytes;
  }

  /**
   * Returns the time that a further body needs until it has been sent, behind those that wait.
   *
   * @param bytes size of the body
   * @return milliseconds, 0 if it may be sent at once
   */
  public long millisToSend(long bytes) {
    return isPaced(bytes)
        ? (long) ((waitingBytes + bytes) / bytesPerNano / TimeUnit.MILLISECONDS.toNanos(1))
        : 0;
  }
}
