package io.coltsfootwheel.journal;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.zip.CRC32C;

/** File format: a version, then records, each with length, CRC32C and payload. */
final class RecordFormat {
  /** Current version, with separate files for the snapshot and the log segments. */
  static final int VERSION = 2;

  /** Version 1: one file, whose first record contains the whole state; converted when opened. */
  static final int LEGACY_VERSION = 1;

  static final int RECORD_HEADER_BYTES = 8;

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

  static int checksum(byte[] bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, offset, length);
    return (int) crc.getValue();
  }

  /** Returns what precedes the payload of the only record of a file. */
  static byte[] fileHeader(byte[] onlyPayload) {
    return ByteBuffer.allocate(Integer.BYTES + RECORD_HEADER_BYTES)
        .putInt(VERSION)
        .putInt(onlyPayload.length)
        .putInt(checksum(onlyPayload, 0, onlyPayload.length))
        .array();
  }

  static ColtsfootwheelException corrupt(Path file, long position) {
    return ColtsfootwheelException.of(
        ErrorKind.JOURNAL_CORRUPT, file + " is damaged at byte " + position);
  }
}
