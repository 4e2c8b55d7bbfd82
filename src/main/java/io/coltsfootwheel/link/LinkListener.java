package io.coltsfootwheel.link;

import io.coltsfootwheel.model.InstanceId;

/** Receives frames and connection events; called on network threads, so it must not block. */
public interface LinkListener {
  /**
   * Called for each received frame.
   *
   * @param from the authenticated sender
   * @param session id of the sender's process, new after each restart
   * @param frame the frame
   */
  void received(InstanceId from, String session, Frame frame);

  /**
   * Called when a connection to a peer is established and its handshake is complete.
   *
   * @param peer the peer
   * @param session id of the peer's process, new after each restart
   * @param channel channel of the connection
   */
  default void connected(InstanceId peer, String session, LinkChannel channel) {}

  /**
   * Called when an inbound or outbound connection is lost. Frames in transit may be lost, so the
   * outcome of requests in flight with this peer is unknown.
   *
   * @param peer the peer
   * @param channel channel of the connection
   */
  void disconnected(InstanceId peer, LinkChannel channel);

  /**
   * Called when an outbound connection is closed because no probe on it was answered; {@link
   * #disconnected} follows, and a new connection is opened.
   *
   * @param peer the peer
   * @param channel channel of the connection
   * @param unansweredMillis time since the unanswered probe was sent, in milliseconds
   */
  default void silent(InstanceId peer, LinkChannel channel, long unansweredMillis) {}

  /**
   * Called for each data frame that was queued but never written because its connection ended or
   * could not be established; {@link #disconnected} follows.
   *
   * @param peer receiver of the frame
   * @param frame the frame
   */
  default void notWritten(InstanceId peer, Frame frame) {}
}
