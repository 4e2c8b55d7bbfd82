package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ErrorKind;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.zip.CRC32C;

/** Format of a segment: version, then records of length, CRC32C and payload. */
final class SegmentFormat {
  static final int VERSION = 1;
  private static final int RECORD_HEAD_BYTES = 8;

  record Content(JournalState state, int validBytes) {}

  private SegmentFormat() {}

  static byte[] header(DurableState state) {
    byte[] first = record(ControlCodec.encode(state));
    return ByteBuffer.allocate(Integer.BYTES + first.length).putInt(VERSION).put(first).array();
  }

  static byte[] record(byte[] payload) {
    return ByteBuffer.allocate(RECORD_HEAD_BYTES + payload.length)
        .putInt(payload.length)
        .putInt(checksum(payload))
        .put(payload)
        .array();
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }

  static Content read(Path file, byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (buffer.remaining() < Integer.BYTES) {
      throw corrupt(file, 0);
    }
    int version = buffer.getInt();
    if (version > VERSION) {
      throw ColtsfootwheelException.of(
          ErrorKind.UNSUPPORTED_VERSION, file + " has format version " + version);
    }
    JournalState state = null;
    int valid = buffer.position();
    while (isValid(bytes, buffer.position())) {
      byte[] payload = new byte[buffer.getInt()];
      buffer.getInt();
      buffer.get(payload);
      if (state == null) {
        state = new JournalState(ControlCodec.decode(payload, DurableState.class));
      } else {
        state.apply(ControlCodec.decode(payload, ReplicationEffect.Persist.class));
      }
      valid = buffer.position();
    }
    if (state == null || hasValidRecordAfter(bytes, valid)) {
      throw corrupt(file, valid);
    }
    return new Content(state, valid);
  }

  private static boolean isValid(byte[] bytes, int position) {
    if (bytes.length - position < RECORD_HEAD_BYTES) {
      return false;
    }
    ByteBuffer buffer = ByteBuffer.wrap(bytes).position(position);
    int length = buffer.getInt();
    int checksum = buffer.getInt();
    if (length <= 0 || length > buffer.remaining()) {
      return false;
    }
    CRC32C crc = new CRC32C();
    crc.update(bytes, position + RECORD_HEAD_BYTES, length);
    return checksum == (int) crc.getValue();
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

  private static ColtsfootwheelException corrupt(Path file, int position) {
    return ColtsfootwheelException.of(
        ErrorKind.JOURNAL_CORRUPT, file + " is damaged at byte " + position);
  }
}
