package io.coltsfootwheel.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.List;

/** Encodes frames; small payloads are copied into a shared buffer, large ones are not copied. */
final class FrameEncoder {
  /** Length field and kind byte. */
  static final int HEADER_BYTES = FrameDecoder.LENGTH_FIELD_BYTES + 1;

  /** Above this payload size, a separate buffer is cheaper than a copy. */
  private static final int MAX_COPIED_PAYLOAD_BYTES = 16 * 1024;

  private FrameEncoder() {}

  static ByteBuf encode(ByteBufAllocator allocator, Frame frame) {
    ByteBuf buffer = allocator.buffer(HEADER_BYTES + frame.payload().length);
    writeHeader(buffer, frame);
    return buffer.writeBytes(frame.payload());
  }

  /**
   * Writes frames in order without flushing.
   *
   * @return completes when the last frame was written to the socket, or the connection has ended
   */
  static ChannelFuture write(Channel channel, List<Frame> frames) {
    ByteBuf sharedBuffer = newBuffer(channel.alloc(), sharedBufferBytes(frames));
    for (Frame frame : frames) {
      writeHeader(sharedBuffer, frame);
      if (frame.payload().length <= MAX_COPIED_PAYLOAD_BYTES) {
        sharedBuffer.writeBytes(frame.payload());
      } else {
        channel.write(
            sharedBuffer.readRetainedSlice(sharedBuffer.readableBytes()), channel.voidPromise());
        channel.write(Unpooled.wrappedBuffer(frame.payload()), channel.voidPromise());
      }
    }
    return channel.write(sharedBuffer);
  }

  /** Frames that wait take heap, which is bounded; memory outside of it is for reads and writes. */
  private static ByteBuf newBuffer(ByteBufAllocator allocator, int bytes) {
    return allocator.isDirectBufferPooled() ? allocator.buffer(bytes) : allocator.heapBuffer(bytes);
  }

  private static int sharedBufferBytes(List<Frame> frames) {
    int bytes = 0;
    for (Frame frame : frames) {
      int length = frame.payload().length;
      bytes += HEADER_BYTES + (length <= MAX_COPIED_PAYLOAD_BYTES ? length : 0);
    }
    return bytes;
  }

  private static void writeHeader(ByteBuf buffer, Frame frame) {
    buffer.writeInt(frame.payload().length + 1).writeByte(frame.kind().ordinal());
  }
}
