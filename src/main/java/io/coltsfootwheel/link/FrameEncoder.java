package io.coltsfootwheel.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.List;

/** Writes frames; small frames share a buffer, large payloads are not copied. */
final class FrameEncoder {
  /** Length field and kind byte. */
  static final int HEADER_BYTES = FrameDecoder.LENGTH_BYTES + 1;

  /** Above this size a separate buffer costs less than the copy. */
  private static final int COPY_LIMIT_BYTES = 16 * 1024;

  private FrameEncoder() {}

  static ByteBuf encode(ByteBufAllocator allocator, Frame frame) {
    ByteBuf buffer = allocator.buffer(HEADER_BYTES + frame.payload().length);
    writeHeader(buffer, frame);
    return buffer.writeBytes(frame.payload());
  }

  /** Writes frames in order without flushing. */
  static void write(Channel channel, List<Frame> frames) {
    ByteBuf shared = channel.alloc().buffer(sharedBytes(frames));
    for (Frame frame : frames) {
      writeHeader(shared, frame);
      if (frame.payload().length <= COPY_LIMIT_BYTES) {
        shared.writeBytes(frame.payload());
      } else {
        channel.write(shared.readRetainedSlice(shared.readableBytes()), channel.voidPromise());
        channel.write(Unpooled.wrappedBuffer(frame.payload()), channel.voidPromise());
      }
    }
    channel.write(shared, channel.voidPromise());
  }

  private static int sharedBytes(List<Frame> frames) {
    int bytes = 0;
    for (Frame frame : frames) {
      int length = frame.payload().length;
      bytes += HEADER_BYTES + (length <= COPY_LIMIT_BYTES ? length : 0);
    }
    return bytes;
  }

  private static void writeHeader(ByteBuf buffer, Frame frame) {
    buffer.writeInt(frame.payload().length + 1).writeByte(frame.kind().ordinal());
  }
}
