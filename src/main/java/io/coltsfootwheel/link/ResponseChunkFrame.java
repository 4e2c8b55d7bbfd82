package io.coltsfootwheel.link;

/**
 * Part of a response body.
 *
 * @param requestId request number assigned by the entry instance
 * @param bytes bytes of the part
 */
public record ResponseChunkFrame(long requestId, byte[] bytes) {

  /**
   * Encodes this message.
   *
   * @return a frame of kind {@link FrameKind#RESPONSE_CHUNK}
   */
  public Frame toFrame() {
    return new Frame(FrameKind.RESPONSE_CHUNK, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#RESPONSE_CHUNK}
   * @return the message
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the payload is malformed
   */
  public static ResponseChunkFrame decode(byte[] payload) {
    return DataCodec.decodeChunk(payload);
  }
}
