package io.coltsfootwheel.link;

import io.coltsfootwheel.model.InstanceId;

/**
 * Settings of the connections between instances.
 *
 * @param cluster name of the cluster; peers of another cluster are refused
 * @param instance this instance
 * @param session session of this process
 * @param host IP number to listen on
 * @param port port to listen on, 0 for any free port
 * @param key shared key of the cluster
 * @param queueBytes bound of the outbound queue for each peer and channel
 * @param connectMillis bound of the time to connect; the handshake may take ten times as long
 * @param idleMillis time without frames after which a data connection is closed
 * @param seed seed of the jitter between attempts to connect
 */
public record LinkSettings(
    String cluster,
    InstanceId instance,
    String session,
    String host,
    int port,
    byte[] key,
    int queueBytes,
    long connectMillis,
    long idleMillis,
    long seed) {
  /** Twice the largest frame, so that a snapshot does not block the queue for small frames. */
  public static final int DEFAULT_QUEUE_BYTES = 2 * Frame.MAX_FRAME_BYTES;

  /** Above the round trip between regions, below the shortest lease. */
  public static final long DEFAULT_CONNECT_MILLIS = 300;

  /** Above the largest deadline of a request (60 s), so no request is in flight when it closes. */
  public static final long DEFAULT_IDLE_MILLIS = 120_000;

  /**
   * A peer that has just started, or whose event loops are busy, answers later than its network.
   * With a factor of 4, one handshake timed out in a test on a busy machine and ended responses.
   */
  private static final int HANDSHAKE_FACTOR = 10;

  long handshakeMillis() {
    return HANDSHAKE_FACTOR * connectMillis;
  }

  /**
   * Returns settings with the default limits.
   *
   * @param cluster name of the cluster
   * @param instance this instance
   * @param session session of this process
   * @param host IP number to listen on
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
        DEFAULT_QUEUE_BYTES,
        DEFAULT_CONNECT_MILLIS,
        DEFAULT_IDLE_MILLIS,
        session.hashCode());
  }
}
