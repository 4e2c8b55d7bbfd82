package io.coltsfootwheel.link;

import java.util.List;

/**
 * Status and headers of a target's response.
 *
 * @param requestId request number assigned by the entry instance
 * @param target target that responded
 * @param status HTTP status
 * @param headers end-to-end headers
 */
public record ResponseHeadFrame(long requestId, String target, int status, List<Header> headers) {

  /**
   * Encodes this message.
   *
   * @return a frame of kind {@link FrameKind#RESPONSE_HEAD}
   */
  public Frame toFrame() {
    return new Frame(FrameKind.RESPONSE_HEAD, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#RESPONSE_HEAD}
   * @return the message
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the payload is malformed
   */
  public static ResponseHeadFrame decode(byte[] payload) {
    return DataCodec.decodeHead(payload);
  }
}
