package io.coltsfootwheel.link;

/**
 * Aborts a response whose head was sent but whose body cannot be completed.
 *
 * @param requestId request number assigned by the entry instance
 * @param cause why the body cannot be completed
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
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the payload is malformed
   */
  public static ResponseAbortFrame decode(byte[] payload) {
    return DataCodec.decodeAbort(payload);
  }
}
