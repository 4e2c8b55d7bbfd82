package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.model.InstanceId;
import reactor.core.publisher.Mono;

/**
 * Moves responses from the dispatcher to the entry over the link with a credit window of 256 KiB.
 *
 * <p>At the entry: {@code relay.expect(dispatcher, id)}, then send the {@code ForwardFrame}. At the
 * dispatcher: {@code relay.send(entry, id, response)}. Both: pass frames to {@link #received} and
 * losses of data connections to {@link #disconnected}.
 */
public interface ResponseRelay extends AutoCloseable {
  /**
   * Returns a relay.
   *
   * @param link the link
   * @param idleMillis time without progress after which a response is aborted
   * @return the relay
   */
  static ResponseRelay of(LinkTransport link, long idleMillis) {
    return new LinkResponseRelay(link, idleMillis);
  }

  /**
   * Expects the response to a request that is about to be forwarded; registered at once, before the
   * result is subscribed to.
   *
   * @param dispatcher the instance that dispatches the request
   * @param requestId number of the request at this entry
   * @return the response; {@code TARGET_FAILED} with outcome unknown when the connection is lost
   */
  Mono<CallerResponse> expect(InstanceId dispatcher, long requestId);

  /**
   * Forgets a request, for example when its forward could not be queued or its caller has gone;
   * later frames for it are ignored.
   *
   * @param dispatcher the instance that dispatches the request
   * @param requestId number of the request at this entry
   */
  void forget(InstanceId dispatcher, long requestId);

  /**
   * Sends a response to the entry.
   *
   * @param entry the instance that forwarded the request
   * @param requestId number of the request at the entry
   * @param response the response
   * @return completes when the last frame is queued; an error when the response was aborted
   */
  Mono<Void> send(InstanceId entry, long requestId, CallerResponse response);

  /**
   * Stops sending a response whose caller has gone.
   *
   * @param entry the instance that forwarded the request
   * @param requestId number of the request at the entry
   */
  void cancel(InstanceId entry, long requestId);

  /**
   * Handles a frame of kind RESPONSE_* or CREDIT; other kinds are ignored.
   *
   * @param from the sender
   * @param frame the frame
   */
  void received(InstanceId from, Frame frame);

  /**
   * Ends all responses from and to a peer after its data connection was lost.
   *
   * @param peer the peer
   */
  void disconnected(InstanceId peer);

  /** Stops the timer and ends all responses. */
  @Override
  void close();
}
