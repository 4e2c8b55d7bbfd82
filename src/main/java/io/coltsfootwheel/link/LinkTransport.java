package io.coltsfootwheel.link;

import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Map;

/**
 * Connections between instances.
 *
 * <p>Each instance sends on connections that it opened itself and receives on those that its peers
 * opened. Frames to one peer on one channel arrive in order and at most once. A connection on which
 * frames are sent is probed, and opened again when its own probes stay unanswered: a connection
 * that was cut without a TCP reset reports no error, and frames that the peer sends on its own
 * connection do not show that this one works.
 *
 * <p>Usage: {@code LinkTransport link = LinkTransport.of(settings); link.start(listener);
 * link.replacePeers(addresses); link.send(peer, frame);}
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
   * Starts to listen; tries once to bind the address.
   *
   * @param listener receives frames and connection events
   * @return the bound address
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the address cannot be bound
   */
  default Address start(LinkListener listener) {
    return start(listener, ListenerBinder.withoutRetry());
  }

  /**
   * Starts to listen.
   *
   * @param listener receives frames and connection events
   * @param binder binds the address
   * @return the bound address
   * @throws io.coltsfootwheel.model.ColtsfootwheelException when the address cannot be bound
   */
  Address start(LinkListener listener, ListenerBinder binder);

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
   * Replaces the set of peers; connections to peers that were removed or have a new address are
   * closed.
   *
   * @param addresses link addresses of all other instances by instance id; an entry for this
   *     instance is ignored
   */
  void replacePeers(Map<InstanceId, Address> addresses);

  /**
   * Returns how many connections and frames were rejected.
   *
   * @param failure the reason
   * @return the number since the process start
   */
  long failureCount(LinkFailure failure);

  /**
   * Returns how many frames were sent or received, without those of handshakes.
   *
   * @param kind kind of the frames
   * @param direction sent or received
   * @return the number since the process start
   */
  long frameCount(FrameKind kind, LinkDirection direction);

  /**
   * Returns the bytes of the frames that {@link #frameCount} counts, including the frame headers
   * but not those of TCP.
   *
   * @param kind kind of the frames
   * @param direction sent or received
   * @return the number of bytes since the process start
   */
  long byteCount(FrameKind kind, LinkDirection direction);

  /** Stops listening and closes all connections. */
  @Override
  void close();
}
