package io.coltsfootwheel.journal;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.zip.CRC32C;

/**
 * Reads the records of one file, one at a time: a file, and a record of an earlier version, may be
 * larger than the free memory.
 *
 * <p>Usage: {@code new RecordReader(path, () -> folder.read(name), VERSION).readComplete(reader)}.
 */
final class RecordReader {
  /** Larger records are read twice, to check and to decode them, and not kept in memory. */
  private static final int MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

  private static final int PART_BYTES = 64 * 1024;

  private final Path file;
  private final Source source;
  private final int version;

  /** Opens the file at its start. */
  @FunctionalInterface
  interface Source {
    InputStream open() throws IOException;
  }

  /** Reads the payload of a valid record. */
  @FunctionalInterface
  interface PayloadReader {
    void read(InputStream payload) throws IOException;
  }

  RecordReader(Path file, Source source, int version) {
    this.file = file;
    this.source = source;
    this.version = version;
  }

  /** Reads a file that was synced as a whole; throws on any damage. */
  void readComplete(PayloadReader payloads) throws IOException {
    long endBytes = readValid(payloads);
    if (hasTail(endBytes)) {
      throw RecordFormat.corrupt(file, endBytes);
    }
  }

  /**
   * Reads the valid records, and returns their end, where a torn tail may begin. Throws on damage
   * that a valid record follows.
   */
  long readUpToTornTail(PayloadReader payloads) throws IOException {
    return readValid(payloads);
  }

  /** Passes on the valid records at the start of the file, and returns their end. */
  private long readValid(PayloadReader payloads) throws IOException {
    long endBytes = Integer.BYTES;
    try (InputStream input = source.open()) {
      checkVersion(input.readNBytes(Integer.BYTES));
      long recordBytes = readRecord(input, endBytes, payloads);
      while (recordBytes > 0) {
        endBytes += recordBytes;
        recordBytes = readRecord(input, endBytes, payloads);
      }
    }
    // A file gets its name only after its first record is synced, so that record cannot be torn.
    if (endBytes == Integer.BYTES || containsValidRecord(endBytes)) {
      throw RecordFormat.corrupt(file, endBytes);
    }
    return endBytes;
  }

  /** Reads one record, and returns its length, 0 when it is not valid. */
  private long readRecord(InputStream input, long position, PayloadReader payloads)
      throws IOException {
    byte[] header = input.readNBytes(RecordFormat.RECORD_HEADER_BYTES);
    if (header.length < RecordFormat.RECORD_HEADER_BYTES) {
      return 0;
    }
    ByteBuffer fields = ByteBuffer.wrap(header);
    int length = fields.getInt();
    int checksum = fields.getInt();
    if (length <= 0) {
      return 0;
    }
    boolean isValid =
        length <= MAX_BUFFERED_BYTES
            ? readBuffered(input, length, checksum, payloads)
            : readTwice(input, position + header.length, length, checksum, payloads);
    return isValid ? header.length + length : 0;
  }

  private static boolean readBuffered(
      InputStream input, int length, int checksum, PayloadReader payloads) throws IOException {
    byte[] payload = input.readNBytes(length);
    boolean isValid =
        payload.length == length && RecordFormat.checksum(payload, 0, length) == checksum;
    if (isValid) {
      payloads.read(new ByteArrayInputStream(payload));
    }
    return isValid;
  }

  private boolean readTwice(
      InputStream input, long position, int length, int checksum, PayloadReader payloads)
      throws IOException {
    if (!hasChecksum(input, length, checksum)) {
      return false;
    }
    try (InputStream again = openAt(position)) {
      payloads.read(new LimitedInput(again, length));
    }
    return true;
  }

  private static boolean hasChecksum(InputStream input, int length, int checksum)
      throws IOException {
    CRC32C crc = new CRC32C();
    byte[] part = new byte[PART_BYTES];
    int missingBytes = length;
    while (missingBytes > 0) {
      int read = input.read(part, 0, Math.min(part.length, missingBytes));
      if (read < 0) {
        return false;
      }
      crc.update(part, 0, read);
      missingBytes -= read;
    }
    return (int) crc.getValue() == checksum;
  }

  private InputStream openAt(long position) throws IOException {
    InputStream input = source.open();
    try {
      input.skipNBytes(position);
      return input;
    } catch (EOFException e) {
      return input;
    } catch (IOException e) {
      input.close();
      throw e;
    }
  }

  private boolean hasTail(long position) throws IOException {
    try (InputStream input = openAt(position)) {
      return input.read() >= 0;
    }
  }

  private long tailBytes(long position) throws IOException {
    long length = 0;
    try (InputStream input = openAt(position)) {
      byte[] part = new byte[PART_BYTES];
      for (int read = input.read(part); read >= 0; read = input.read(part)) {
        length += read;
      }
    }
    return length;
  }

  /**
   * Tells whether a valid record begins in the tail, behind its first byte. None follows a torn
   * record, so a valid record means damage to an earlier one.
   */
  private boolean containsValidRecord(long tailPosition) throws IOException {
    long length = tailBytes(tailPosition);
    try (InputStream input = openAt(tailPosition)) {
      long header = 0;
      for (long end = 1; end <= length; end++) {
        header = header << Byte.SIZE | input.read();
        boolean isWhole = end > RecordFormat.RECORD_HEADER_BYTES;
        if (isWhole && isValid(header, tailPosition + end, length - end)) {
          return true;
        }
      }
    }
    return false;
  }

  private boolean isValid(long header, long payloadPosition, long leftBytes) throws IOException {
    int length = (int) (header >>> Integer.SIZE);
    if (length <= 0 || length > leftBytes) {
      return false;
    }
    try (InputStream payload = openAt(payloadPosition)) {
      return hasChecksum(payload, length, (int) header);
    }
  }

  private void checkVersion(byte[] bytes) {
    if (bytes.length < Integer.BYTES) {
      throw RecordFormat.corrupt(file, 0);
    }
    int found = ByteBuffer.wrap(bytes).getInt();
    if (found > RecordFormat.VERSION) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNSUPPORTED_VERSION, file + " has unsupported format version " + found);
    }
    if (found != version) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_CORRUPT,
          file + " is damaged at byte 0: format version " + found + " instead of " + version);
    }
  }
}
