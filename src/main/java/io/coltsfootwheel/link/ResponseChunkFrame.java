package io.coltsfootwheel.link;

/**
 * Part of a response body.
 *
 * @param requestId number of the request at the entry
 * @param bytes the part
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
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the bytes do not fit
   */
  public static ResponseChunkFrame decode(byte[] payload) {
    return DataCodec.decodeChunk(payload);
  }
}
