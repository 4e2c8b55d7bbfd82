package io.coltsfootwheel.model;

import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compression of encoded values.
 *
 * <p>Usage: {@code Deflate.inflate(Deflate.deflate(bytes), maxBytes)}.
 */
public final class Deflate {
  private static final int BUFFER_GROWTH = 4;
  private static final int MIN_BUFFER_BYTES = 256;

  private Deflate() {}

  /**
   * Compresses bytes.
   *
   * @param bytes the bytes
   * @return the compressed bytes
   */
  public static byte[] deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      byte[] buffer = new byte[Math.max(MIN_BUFFER_BYTES, bytes.length / 2)];
      int size = deflater.deflate(buffer);
      while (!deflater.finished()) {
        buffer = Arrays.copyOf(buffer, buffer.length * 2);
        size += deflater.deflate(buffer, size, buffer.length - size);
      }
      return Arrays.copyOf(buffer, size);
    } finally {
      deflater.end();
    }
  }

  /**
   * Restores compressed bytes.
   *
   * @param deflated the compressed bytes
   * @param maxBytes largest accepted size of the restored bytes
   * @return the restored bytes
   * @throws ColtsfootwheelException with {@link ErrorKind#INVALID_VALUE} when the bytes are no
   *     whole result of {@link #deflate}, or restore to more than {@code maxBytes}
   */
  public static byte[] inflate(byte[] deflated, int maxBytes) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
      byte[] buffer = new byte[Math.min(maxBytes, initialBytes(deflated))];
      int size = inflater.inflate(buffer);
      while (!inflater.finished()) {
        if (buffer.length == maxBytes || inflater.needsInput() || inflater.needsDictionary()) {
          throw ColtsfootwheelException.of(
              ErrorKind.INVALID_VALUE, "compressed bytes are incomplete or too large");
        }
        buffer = Arrays.copyOf(buffer, (int) Math.min(maxBytes, 2L * buffer.length));
        size += inflater.inflate(buffer, size, buffer.length - size);
      }
      return Arrays.copyOf(buffer, size);
    } catch (DataFormatException e) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "bytes are not compressed", e);
    } finally {
      inflater.end();
    }
  }

  private static int initialBytes(byte[] deflated) {
    return (int)
        Math.min(
            Integer.MAX_VALUE, Math.max(MIN_BUFFER_BYTES, (long) BUFFER_GROWTH * deflated.length));
  }
}
