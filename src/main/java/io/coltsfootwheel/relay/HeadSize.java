package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/** Counts the bytes of the fields of a head while it is decoded, without the ends of lines. */
final class HeadSize implements ByteProcessor {
  private boolean counting;
  private int startIndex;
  private long bytes;

  /**
   * Begins at the first field, behind the request line.
   *
   * @param fieldsIndex index in the buffer that is decoded
   */
  void begin(int fieldsIndex) {
    counting = true;
    startIndex = fieldsIndex;
    bytes = 0;
  }

  /**
   * Goes on, in a buffer that may have changed.
   *
   * @param index index of the next byte
   */
  void resume(int index) {
    startIndex = index;
  }

  /** Returns whether the end of the head was not decoded. */
  boolean isCounting() {
    return counting;
  }

  /**
   * Adds the fields that were decoded since the last call.
   *
   * @param buffer the buffer, whose reader index is behind the decoded bytes
   * @param isComplete whether the end of the head was decoded
   * @return the bytes of all decoded fields
   */
  long add(ByteBuf buffer, boolean isComplete) {
    buffer.forEachByte(startIndex, buffer.readerIndex() - startIndex, this);
    counting = !isComplete;
    return bytes;
  }

  @Override
  public boolean process(byte value) {
    bytes += value == '\r' || value == '\n' ? 0 : 1;
    return true;
  }
}
