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
    while (isComplete(buffer)) {
      byte[] payload = payload(file, buffer);
      if (state == null) {
        state = new JournalState(ControlCodec.decode(payload, DurableState.class));
      } else {
        state.apply(ControlCodec.decode(payload, ReplicationEffect.Persist.class));
      }
      valid = buffer.position();
    }
    if (state == null) {
      throw corrupt(file, valid);
    }
    return new Content(state, valid);
  }

  private static boolean isComplete(ByteBuffer buffer) {
    if (buffer.remaining() < RECORD_HEAD_BYTES) {
      return false;
    }
    int length = buffer.getInt(buffer.position());
    return length >= 0 && length <= buffer.remaining() - RECORD_HEAD_BYTES;
  }

  private static byte[] payload(Path file, ByteBuffer buffer) {
    int position = buffer.position();
    byte[] payload = new byte[buffer.getInt()];
    int checksum = buffer.getInt();
    buffer.get(payload);
    if (checksum != checksum(payload)) {
      throw corrupt(file, position);
    }
    return payload;
  }

  private static ColtsfootwheelException corrupt(Path file, int position) {
    return ColtsfootwheelException.of(
        ErrorKind.JOURNAL_CORRUPT, file + " is damaged at byte " + position);
  }
}
