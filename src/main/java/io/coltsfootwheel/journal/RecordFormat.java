package io.coltsfootwheel.journal;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/** Format of a file: version, then records of length, CRC32C and payload. */
final class RecordFormat {
  /** Snapshot and log in files of their own. */
  static final int VERSION = 2;

  /** One file that starts with a record of the whole state; it is read and converted. */
  static final int SINGLE_FILE_VERSION = 1;

  private static final int RECORD_HEAD_BYTES = 8;

  private RecordFormat() {}

  static byte[] file(byte[] firstPayload) {
    byte[] first = record(firstPayload);
    return ByteBuffer.allocate(Integer.BYTES + first.length).putInt(VERSION).put(first).array();
  }

  static byte[] record(byte[] payload) {
    return ByteBuffer.allocate(RECORD_HEAD_BYTES + payload.length)
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

  /** Reads a file that was complete when it was last synced; any damage is refused. */
  static void readComplete(Path file, byte[] bytes, Consumer<byte[]> payloads) {
    int valid = readUpToTornTail(file, bytes, VERSION, payloads);
    if (valid < bytes.length) {
      throw corrupt(file, valid);
    }
  }

  /** Reads the valid records and returns where a torn tail begins; other damage is refused. */
  static int readUpToTornTail(Path file, byte[] bytes, int version, Consumer<byte[]> payloads) {
    checkVersion(file, bytes, version);
    int valid = Integer.BYTES;
    while (isValid(bytes, valid)) {
      byte[] payload = new byte[ByteBuffer.wrap(bytes).getInt(valid)];
      System.arraycopy(bytes, valid + RECORD_HEAD_BYTES, payload, 0, payload.length);
      payloads.accept(payload);
      valid += RECORD_HEAD_BYTES + payload.length;
    }
    // The first record is complete before the file gets its name.
    if (valid == Integer.BYTES || hasValidRecordAfter(bytes, valid)) {
      throw corrupt(file, valid);
    }
    return valid;
  }

  private static void checkVersion(Path file, byte[] bytes, int expected) {
    if (bytes.length < Integer.BYTES) {
      throw corrupt(file, 0);
    }
    int version = ByteBuffer.wrap(bytes).getInt();
    if (version > VERSION) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNSUPPORTED_VERSION, file + " has format version " + version);
    }
    if (version != expected) {
      throw ColtsfootwheelException.of(
          ErrorKind.JOURNAL_CORRUPT,
          file + " is damaged at byte 0: format version " + version + " in place of " + expected);
    }
  }

  private static boolean isValid(byte[] bytes, int position) {
    if (bytes.length - position < RECORD_HEAD_BYTES) {
      return false;
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes).position(position);
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    return length > 0
        && length <= buffer.remaining()
        && checksum == checksum(bytes, position + RECORD_HEAD_BYTES, length);
  }

  /** A torn tail has no valid record behind it; damage before the tail has. */
  private static boolean hasValidRecordAfter(byte[] bytes, int position) {
    for (int next = position + 1; next <= bytes.length - RECORD_HEAD_BYTES; next++) {
      if (isValid(bytes, next)) {
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
