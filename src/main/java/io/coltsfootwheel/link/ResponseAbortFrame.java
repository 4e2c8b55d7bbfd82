package io.coltsfootwheel.link;

/**
 * End of a response whose head was sent but whose body is not complete.
 *
 * @param requestId number of the request at the entry
 * @param cause why the body is not complete
 */
public record ResponseAbortFrame(long requestId, String cause) {

  /**
   * Encodes this message.
   *
   * @return a frame of kind {@link FrameKind#RESPONSE_ABORT}
   */
  public Frame toFrame() {
    return new Frame(FrameKind.RESPONSE_ABORT, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#RESPONSE_ABORT}
   * @return the message
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the bytes do not fit
   */
  public static ResponseAbortFrame decode(byte[] payload) {
    return DataCodec.decodeAbort(payload);
  }
}
