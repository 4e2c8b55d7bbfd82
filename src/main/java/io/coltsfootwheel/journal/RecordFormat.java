package io.coltsfootwheel.journal;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/** File format: a version, then records, each with length, CRC32C and payload. */
final class RecordFormat {
  /** Current version, with separate files for the snapshot and the log segments. */
  static final int VERSION = 2;

  /** Version 1: one file, whose first record contains the whole state; converted when opened. */
  static final int LEGACY_VERSION = 1;

  private static final int RECORD_HEADER_BYTES = 8;

  private RecordFormat() {}

  static byte[] file(byte[] firstPayload) {
    byte[] firstRecord = record(firstPayload);
    return ByteBuffer.allocate(Integer.BYTES + firstRecord.length)
        .putInt(VERSION)
        .put(firstRecord)
        .array();
  }

  static byte[] record(byte[] payload) {
    return ByteBuffer.allocate(RECORD_HEADER_BYTES + payload.length)
        .putInt(payload.length)
        .putInt(checksum(payload, 0, payload.length))
        .put(payload)
        .array();
  }

  private static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }

  /** Reads a file that was synced as a whole; throws on any damage. */
  static void readComplete(Path file, InputStream input, Consumer<byte[]> payloadConsumer)
      throws IOException {
    ValidRecords records = readValid(file, input, VERSION, payloadConsumer);
    if (records.tail().length > 0) {
      throw corrupt(file, records.endBytes());
    }
  }

  /**
   * Reads the valid records, and returns their end, where a torn tail may begin. Throws on damage
   * that a valid record follows.
   */
  static long readUpToTornTail(
      Path file, InputStream input, int version, Consumer<byte[]> payloadConsumer)
      throws IOException {
    return readValid(file, input, version, payloadConsumer).endBytes();
  }

  /**
   * Valid records at the start of a file.
   *
   * @param endBytes position behind them
   * @param tail the bytes behind them, none of which begin a valid record
   */
  private record ValidRecords(long endBytes, byte[] tail) {}

  /** Passes on the valid records, one at a time: a file may be larger than the free memory. */
  private static ValidRecords readValid(
      Path file, InputStream input, int version, Consumer<byte[]> payloadConsumer)
      throws IOException {
    checkVersion(file, input.readNBytes(Integer.BYTES), version);
    long endBytes = Integer.BYTES;
    byte[] header = input.readNBytes(RECORD_HEADER_BYTES);
    byte[] payload = readPayload(input, header);
    while (isValid(header, payload)) {
      payloadConsumer.accept(payload);
      endBytes += header.length + payload.length;
      header = input.readNBytes(RECORD_HEADER_BYTES);
      payload = readPayload(input, header);
    }
    byte[] tail = concatenate(header, payload, input.readAllBytes());
    // A file gets its name only after its first record is synced, so that record cannot be torn.
    if (endBytes == Integer.BYTES || containsValidRecord(tail)) {
      throw corrupt(file, endBytes);
    }
    return new ValidRecords(endBytes, tail);
  }

  private static byte[] concatenate(byte[]... parts) {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      whole.writeBytes(part);
    }
    return whole.toByteArray();
  }

  private static byte[] readPayload(InputStream input, byte[] header) throws IOException {
    if (header.length < RECORD_HEADER_BYTES) {
      return new byte[0];
    }
    return input.readNBytes(Math.max(0, ByteBuffer.wrap(header).getInt()));
  }

  private static boolean isValid(byte[] header, byte[] payload) {
    if (header.length < RECORD_HEADER_BYTES || payload.length == 0) {
      return false;
    }
    ByteBuffer buffer = ByteBuffer.wrap(header);
    return buffer.getInt() == payload.length
        && buffer.getInt() == checksum(payload, 0, payload.length);
  }

  private static void checkVersion(Path file, byte[] bytes, int expected) {
    if (bytes.length < Integer.BYTES) {
      throw corrupt(file, 0);
    }
    int version = ByteBuffer.wrap(bytes).getInt();
    if (version > VERSION) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNSUPPORTED_VERSION, file + " has unsupported format version " + version);
    }
    if (version != expected) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_CORRUPT,
          file + " is damaged at byte 0: format version " + version + " instead of " + expected);
    }
  }

  private static boolean isValid(byte[] bytes, int position) {
    if (bytes.length - position < RECORD_HEADER_BYTES) {
      return false;
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes).position(position);
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    return length > 0
        && length <= buffer.remaining()
        && checksum == checksum(bytes, position + RECORD_HEADER_BYTES, length);
  }

  /**
   * Tells whether a valid record begins in a tail. None follows a torn record, so a valid record
   * means damage to an earlier one.
   */
  private static boolean containsValidRecord(byte[] bytes) {
    for (int candidate = 1; candidate <= bytes.length - RECORD_HEADER_BYTES; candidate++) {
      if (isValid(bytes, candidate)) {
        return true;
      }
    }
    return false;
  }

  static ColtsfootwheelException corrupt(Path file, long position) {
    return ColtsfootwheelException.of(
        ErrorKind.JOURNAL_CORRUPT, file + " is damaged at byte " + position);
  }
}
