package io.coltsfootwheel.link;

/**
 * Message that names only a request: the end of a response or its cancellation.
 *
 * @param requestId number of the request at the entry
 */
public record RequestIdFrame(long requestId) {

  /**
   * Encodes the complete end of a response.
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
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the bytes do not fit
   */
  public static RequestIdFrame decode(byte[] payload) {
    return DataCodec.decodeRequestId(payload);
  }
}
