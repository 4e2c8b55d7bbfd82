package io.coltsfootwheel.link;

import java.util.List;
import java.util.Optional;

/**
 * Caller's request that the entry instance forwards to the dispatcher.
 *
 * @param requestId request number assigned by the entry instance, unique within its session
 * @param service service name
 * @param target target chosen by the entry instance
 * @param fence dispatch fence known to the entry instance
 * @param hashSlot hash slot of the key, -1 for an unkeyed service
 * @param customer customer name, if given
 * @param identity request identity, if given
 * @param idempotent true when the request may be executed more than once
 * @param deadlineMillis time that remained until the deadline when the frame was created
 * @param method HTTP method
 * @param uri path and query for the target, starting with a slash
 * @param headers end-to-end headers
 * @param body the complete body
 */
public record ForwardFrame(
    long requestId,
    String service,
    String target,
    long fence,
    int hashSlot,
    Optional<String> customer,
    Optional<String> identity,
    boolean idempotent,
    long deadlineMillis,
    String method,
    String uri,
    List<Header> headers,
    byte[] body) {

  /**
   * Encodes this request.
   *
   * @return a frame of kind {@link FrameKind#FORWARD}
   */
  public Frame toFrame() {
    return new Frame(FrameKind.FORWARD, DataCodec.encode(this));
  }

  /**
   * Decodes a payload.
   *
   * @param payload payload of a frame of kind {@link FrameKind#FORWARD}
   * @return the request
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the payload is malformed
   */
  public static ForwardFrame decode(byte[] payload) {
    return DataCodec.decodeForward(payload);
  }
}
