package io.coltsfootwheel.link;

import java.util.List;
import java.util.Optional;

/**
 * A caller's request on its way from the entry to the dispatcher.
 *
 * @param requestId number of the request at the entry, unique for the entry's session
 * @param service service name
 * @param target target chosen by the entry
 * @param fence dispatch fence that the entry knows
 * @param hashSlot hash slot of the key, -1 for an unkeyed service
 * @param customer customer name, if given
 * @param identity request identity, if given
 * @param idempotent true when the request may run more than once
 * @param deadlineMillis remaining time when the frame was made
 * @param method HTTP method
 * @param uri path and query for the target, starts with a slash
 * @param headers end-to-end headers
 * @param body the whole body
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
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the bytes do not fit
   */
  public static ForwardFrame decode(byte[] payload) {
    return DataCodec.decodeForward(payload);
  }
}
