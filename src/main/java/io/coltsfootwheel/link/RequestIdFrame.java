package io.coltsfootwheel.link;

/**
 * Message that consists of a request id: the end of a response, or the cancellation of a request.
 *
 * @param requestId request number assigned by the entry instance
 */
public record RequestIdFrame(long requestId) {

  /**
   * Encodes the end of a complete response.
   *
   * @return a frame of kind {@link FrameKind#RESPONSE_END}
   */
  public Frame toEnd() {
    return new Frame(FrameKind.RESPONSE_END, DataCodec.encode(this));
  }

  /**
   * Encodes the cancellation of a request.
   *
   * @return a frame of kind {@link FrameKind#CANCEL}
   */
  public Frame toCancel() {
    return new Frame(FrameKind.CANCEL, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#RESPONSE_END} or CANCEL
   * @return the message
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the payload is malformed
   */
  public static RequestIdFrame decode(byte[] payload) {
    return DataCodec.decodeRequestId(payload);
  }
}
