package io.coltsfootwheel.link;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Map;

/**
 * Connections between instances.
 *
 * <p>Each instance sends on connections that it opened itself and receives on those that its peers
 * opened. Frames to one peer on one channel arrive in order; none is repeated.
 *
 * <p>Usage: {@code LinkTransport link = LinkTransport.of(settings); link.start(listener);
 * link.peers(addresses); link.send(peer, frame);}
 */
public interface LinkTransport extends AutoCloseable {
  /**
   * Returns a transport over TCP that is not started yet.
   *
   * @param settings the settings
   * @return the transport
   */
  static LinkTransport of(LinkSettings settings) {
    return new TcpLinkTransport(settings);
  }

  /**
   * Starts to listen.
   *
   * @param listener receives frames and connection changes
   * @return the bound address
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the address cannot be bound
   */
  Address start(LinkListener listener);

  /**
   * Queues a frame without waiting. Control connections are kept open to all peers; a data
   * connection is opened by the first frame.
   *
   * @param to the peer
   * @param frame the frame
   * @return false when the peer is unknown, its queue is full or its control connection is down;
   *     the frame was not sent
   */
  boolean send(InstanceId to, Frame frame);

  /**
   * Replaces the peers; connections to removed or moved peers are closed.
   *
   * @param peers addresses of the links of all other instances; an entry for this instance is
   *     ignored
   */
  void peers(Map<InstanceId, Address> peers);

  /**
   * Replaces the control connection to a peer, for use when the peer has been silent although
   * frames were sent: a connection that was cut without a reset would otherwise hang.
   *
   * @param peer the peer
   */
  void reconnect(InstanceId peer);

  /**
   * Returns how often connections and frames were refused.
   *
   * @param failure the cause
   * @return the number since the start
   */
  long failures(LinkFailure failure);

  /**
   * Returns how many frames were sent or received after the handshakes.
   *
   * @param kind kind of the frames
   * @param direction sent or received
   * @return the number since the start
   */
  long frames(FrameKind kind, LinkDirection direction);

  /**
   * Returns the bytes of the frames that {@link #frames} counts, with their headers but without
   * those of TCP.
   *
   * @param kind kind of the frames
   * @param direction sent or received
   * @return the bytes since the start
   */
  long bytes(FrameKind kind, LinkDirection direction);

  /** Closes all connections and stops to listen. */
  @Override
  void close();
}
