package io.coltsfootwheel.link;

/**
 * Permission to send further body bytes of a response.
 *
 * @param requestId number of the request at the entry
 * @param bytes number of further bytes
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
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the bytes do not fit
   */
  public static CreditFrame decode(byte[] payload) {
    return DataCodec.decodeCredit(payload);
  }
}
