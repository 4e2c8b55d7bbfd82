package io.coltsfootwheel.journal;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
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
  static void readComplete(Path file, byte[] bytes, Consumer<byte[]> payloadConsumer) {
    int validBytes = readUpToTornTail(file, bytes, VERSION, payloadConsumer);
    if (validBytes < bytes.length) {
      throw corrupt(file, validBytes);
    }
  }

  /**
   * Reads the valid records, and returns their end, where a torn tail may begin. Throws on damage
   * that a valid record follows.
   */
  static int readUpToTornTail(
      Path file, byte[] bytes, int version, Consumer<byte[]> payloadConsumer) {
    checkVersion(file, bytes, version);
    int validBytes = Integer.BYTES;
    while (isValid(bytes, validBytes)) {
      byte[] payload = new byte[ByteBuffer.wrap(bytes).getInt(validBytes)];
      System.arraycopy(bytes, validBytes + RECORD_HEADER_BYTES, payload, 0, payload.length);
      payloadConsumer.accept(payload);
      validBytes += RECORD_HEADER_BYTES + payload.length;
    }
    // A file gets its name only after its first record is synced, so that record cannot be torn.
    if (validBytes == Integer.BYTES || hasValidRecordAfter(bytes, validBytes)) {
      throw corrupt(file, validBytes);
    }
    return validBytes;
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
   * Tells whether a valid record follows a position. None follows a torn tail, so a valid record
   * means damage to an earlier one.
   */
  private static boolean hasValidRecordAfter(byte[] bytes, int position) {
    for (int candidate = position + 1;
        candidate <= bytes.length - RECORD_HEADER_BYTES;
        candidate++) {
      if (isValid(bytes, candidate)) {
        return true;
      }
    }
    return false;
  }

  static ColtsfootwheelException corrupt(Path file, int position) {
    return ColtsfootwheelException.of(
        ErrorKind.JOURNAL_CORRUPT, file + " is damaged at byte " + position);
  }
}
