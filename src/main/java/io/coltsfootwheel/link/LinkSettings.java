package io.coltsfootwheel.link;

import io.coltsfootwheel.listener.ListenerKind;
import io.coltsfootwheel.listener.ProcessLimits;
import io.coltsfootwheel.model.InstanceId;

/**
 * Settings of the connections between instances.
 *
 * @param cluster name of the cluster; peers of another cluster are rejected
 * @param instance this instance
 * @param session id of this process, new after each restart
 * @param host IP address to listen on
 * @param port port to listen on, 0 for any free port
 * @param key shared key of the cluster
 * @param maxQueueBytes maximum size of the outbound queue of each peer and channel
 * @param maxTotalQueueBytes memory of all frames that wait to be written, beyond which the
 *     connection that holds most is closed
 * @param connectTimeoutMillis timeout of the first connection attempt; the handshake may take ten
 *     times as long
 * @param idleTimeoutMillis time without sent frames after which a data connection is closed
 * @param seed seed of the jitter of the reconnection backoff
 * @param maxInboundConnections accepted connections that may be open at once
 */
public record LinkSettings(
    String cluster,
    InstanceId instance,
    String session,
    String host,
    int port,
    byte[] key,
    int maxQueueBytes,
    long maxTotalQueueBytes,
    long connectTimeoutMillis,
    long idleTimeoutMillis,
    long seed,
    int maxInboundConnections) {
  /** Twice the maximum frame size, so that a queued snapshot leaves room for small frames. */
  public static final int DEFAULT_MAX_QUEUE_BYTES = 2 * Frame.MAX_FRAME_BYTES;

  private static final int HEAP_SHARE_OF_QUEUES = 4;

  /** Longer than a round trip between regions and shorter than the shortest lease. */
  public static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 300;

  /**
   * Longer than the maximum request deadline (60 s), so that no request is in flight on a closed
   * connection.
   */
  public static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 120_000;

  /**
   * The handshake needs more time than the connection itself when the peer has just started or its
   * event loops are busy. With a factor of 4, a handshake timed out on a busy machine, which
   * aborted responses in flight.
   */
  private static final int HANDSHAKE_TIMEOUT_FACTOR = 10;

  /** With two doublings, an attempt lasts until the first segment has been sent a second time. */
  private static final int MAX_CONNECT_TIMEOUT_DOUBLINGS = 2;

  /** Returns the timeout of the next connection attempt: behind a full link each answer is late. */
  long connectTimeoutMillis(int failedAttempts) {
    return connectTimeoutMillis << Math.min(MAX_CONNECT_TIMEOUT_DOUBLINGS, failedAttempts);
  }

  long handshakeTimeoutMillis() {
    return HANDSHAKE_TIMEOUT_FACTOR * connectTimeoutMillis;
  }

  /**
   * Returns settings with the default limits.
   *
   * @param cluster name of the cluster
   * @param instance this instance
   * @param session id of this process, new after each restart
   * @param host IP address to listen on
   * @param port port to listen on, 0 for any free port
   * @param key shared key of the cluster
   * @return the settings
   */
  public static LinkSettings of(
      String cluster, InstanceId instance, String session, String host, int port, byte[] key) {
    return new LinkSettings(
        cluster,
        instance,
        session,
        host,
        port,
        key.clone(),
        DEFAULT_MAX_QUEUE_BYTES,
        defaultMaxTotalQueueBytes(),
        DEFAULT_CONNECT_TIMEOUT_MILLIS,
        DEFAULT_IDLE_TIMEOUT_MILLIS,
        session.hashCode(),
        ListenerKind.LINKS.maxConnections(ProcessLimits.ofProcess()));
  }

  /** A quarter of the heap, but room for the queue of one peer. */
  private static long defaultMaxTotalQueueBytes() {
    return Math.max(
        DEFAULT_MAX_QUEUE_BYTES, Runtime.getRuntime().maxMemory() / HEAP_SHARE_OF_QUEUES);
  }

  /**
   * Returns these settings with another bound of accepted connections.
   *
   * @param maxConnections accepted connections that may be open at once
   * @return the settings
   */
  public LinkSettings withMaxInboundConnections(int maxConnections) {
    return new LinkSettings(
        cluster,
        instance,
        session,
        host,
        port,
        key,
        maxQueueBytes,
        maxTotalQueueBytes,
        connectTimeoutMillis,
        idleTimeoutMillis,
        seed,
        maxConnections);
  }

  /**
   * Returns these settings with another bound of all frames that wait.
   *
   * @param maxBytes memory of the frames
   * @return the settings
   */
  public LinkSettings withMaxTotalQueueBytes(long maxBytes) {
    return new LinkSettings(
        cluster,
        instance,
        session,
        host,
        port,
        key,
        maxQueueBytes,
        maxBytes,
        connectTimeoutMillis,
        idleTimeoutMillis,
        seed,
        maxInboundConnections);
  }
}
