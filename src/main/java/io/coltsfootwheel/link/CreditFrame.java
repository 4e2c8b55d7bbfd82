package io.coltsfootwheel.link;

/**
 * Flow-control credit: permission to send further body bytes of a response.
 *
 * @param requestId request number assigned by the entry instance
 * @param bytes number of bytes by which the credit grows
 */
public record CreditFrame(long requestId, int bytes) {

  /**
   * Encodes this message.
   *
   * @return a frame of kind {@link FrameKind#CREDIT}
   */
  public Frame toFrame() {
    return new Frame(FrameKind.CREDIT, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#CREDIT}
   * @return the message
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the payload is malformed
   */
  public static CreditFrame decode(byte[] payload) {
    return DataCodec.decodeCredit(payload);
  }
}
