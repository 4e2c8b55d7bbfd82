package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.model.InstanceId;
import reactor.core.publisher.Mono;

/**
 * Transfers responses from the dispatcher to the entry instance over the link, with credit-based
 * flow control and a window of 256 KiB.
 *
 * <p>The entry instance calls {@code relay.expect(dispatcher, id)} and then sends the {@code
 * ForwardFrame}. The dispatcher calls {@code relay.send(entry, id, response)}. Both pass received
 * frames to {@link #received} and report lost data connections to {@link #disconnected}.
 */
public interface ResponseRelay extends AutoCloseable {
  /**
   * Returns a relay.
   *
   * @param link transport of the frames
   * @param idleTimeoutMillis time without progress after which a response is aborted
   * @return the relay
   */
  static ResponseRelay of(LinkTransport link, long idleTimeoutMillis) {
    return new LinkResponseRelay(link, idleTimeoutMillis);
  }

  /**
   * Registers a request that is about to be forwarded. The registration takes place in this call,
   * before the result is subscribed to.
   *
   * @param dispatcher the instance that dispatches the request
   * @param requestId request number assigned by this instance
   * @return the response; {@code TARGET_FAILED} with outcome unknown when the connection is lost
   */
  Mono<CallerResponse> expect(InstanceId dispatcher, long requestId);

  /**
   * Removes a registered request, for example when its {@code ForwardFrame} could not be queued or
   * its caller disconnected; later frames of its response are ignored.
   *
   * @param dispatcher the instance that dispatches the request
   * @param requestId request number assigned by this instance
   */
  void remove(InstanceId dispatcher, long requestId);

  /**
   * Sends a response to the entry instance.
   *
   * @param entry the instance that forwarded the request
   * @param requestId request number assigned by the entry instance
   * @param response the response
   * @return completes when the last frame is queued; fails when the response was aborted
   */
  Mono<Void> send(InstanceId entry, long requestId, CallerResponse response);

  /**
   * Stops sending a response whose caller disconnected.
   *
   * @param entry the instance that forwarded the request
   * @param requestId request number assigned by the entry instance
   */
  void cancel(InstanceId entry, long requestId);

  /**
   * Returns the number of responses that are being sent to entry instances.
   *
   * @return number of responses whose last frame is not queued yet
   */
  int outgoingResponses();

  /**
   * Handles a frame of kind RESPONSE_* or CREDIT; other kinds are ignored.
   *
   * @param from the sender
   * @param frame the frame
   */
  void received(InstanceId from, Frame frame);

  /**
   * Ends all responses from and to a peer whose data connection was lost.
   *
   * @param peer the peer
   */
  void disconnected(InstanceId peer);

  /** Stops the idle check and ends all responses. */
  @Override
  void close();
}
