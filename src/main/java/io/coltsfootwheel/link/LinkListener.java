package io.coltsfootwheel.link;

import io.coltsfootwheel.model.InstanceId;

/** Receives frames and changes of connections; called on network threads, so it must not block. */
public interface LinkListener {
  /**
   * Reports a frame.
   *
   * @param from the authenticated sender
   * @param session session of the sender's process
   * @param frame the frame
   */
  void received(InstanceId from, String session, Frame frame);

  /**
   * Reports that frames can travel to a peer.
   *
   * @param peer the peer
   * @param session session of the peer's process
   * @param channel the channel
   */
  default void connected(InstanceId peer, String session, LinkChannel channel) {}

  /**
   * Reports the loss of a connection in either direction; frames under way may be lost, so requests
   * in flight with this peer have an unknown outcome.
   *
   * @param peer the peer
   * @param channel the channel
   */
  void disconnected(InstanceId peer, LinkChannel channel);
}
