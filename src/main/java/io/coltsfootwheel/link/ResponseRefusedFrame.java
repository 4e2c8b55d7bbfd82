package io.coltsfootwheel.link;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;

/**
 * Error response made by the dispatcher instead of a target's response.
 *
 * @param requestId number of the request at the entry
 * @param kind kind of the error
 * @param outcome what is known about the execution
 * @param detail what is wrong
 * @param retryAfterMillis time after which a resend makes sense, 0 for none
 */
public record ResponseRefusedFrame(
    long requestId, ErrorKind kind, Outcome outcome, String detail, long retryAfterMillis) {

  /**
   * Encodes this message.
   *
   * @return a frame of kind {@link FrameKind#RESPONSE_REFUSED}
   */
  public Frame toFrame() {
    return new Frame(FrameKind.RESPONSE_REFUSED, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#RESPONSE_REFUSED}
   * @return the message
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the bytes do not fit
   */
  public static ResponseRefusedFrame decode(byte[] payload) {
    return DataCodec.decodeRefused(payload);
  }
}
