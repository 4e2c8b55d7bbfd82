package io.coltsfootwheel.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/** Splits the byte stream into frames: 4-byte length, kind byte, payload. */
final class FrameDecoder extends ByteToMessageDecoder {
  static final int LENGTH_FIELD_BYTES = 4;

  private int maxFrameBytes;

  /**
   * Creates a decoder for a connection whose peer is not authenticated yet.
   *
   * @param maxFrameBytes maximum frame size until the handshake is complete
   */
  FrameDecoder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /** Allows frames up to {@link Frame#MAX_FRAME_BYTES}, once the peer is authenticated. */
  void raiseFrameLimit() {
    maxFrameBytes = Frame.MAX_FRAME_BYTES;
  }

  /** Returns whether a part of a frame has arrived whose rest is under way. */
  boolean hasPartialFrame() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < LENGTH_FIELD_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 1 || length > maxFrameBytes) {
      in.skipBytes(in.readableBytes());
      throw new BadFrameException(length < 1 ? LinkFailure.BAD_FRAME : LinkFailure.FRAME_TOO_LARGE);
    }
    if (in.readableBytes() < LENGTH_FIELD_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_FIELD_BYTES);
    FrameKind kind =
        FrameKind.ofCode(in.readByte())
            .orElseThrow(() -> new BadFrameException(LinkFailure.BAD_FRAME));
    byte[] payload = new byte[length - 1];
    in.readBytes(payload);
    out.add(new Frame(kind, payload));
  }
}
