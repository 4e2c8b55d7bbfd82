package io.coltsfootwheel.link;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Counts failures by reason and logs a line only when the connection state of a peer changes. */
final class LinkFailureLog {
  private static final Logger LOGGER = LogManager.getLogger(LinkTransport.class);

  /** Limits the memory that unauthenticated remote addresses can occupy. */
  private static final int MAX_TRACKED_PEERS = 1024;

  private static final String CONNECTED = "up";

  private final Map<LinkFailure, LongAdder> counts = new EnumMap<>(LinkFailure.class);
  private final Map<String, String> lastStates = new ConcurrentHashMap<>();

  LinkFailureLog() {
    for (LinkFailure failure : LinkFailure.values()) {
      counts.put(failure, new LongAdder());
    }
  }

  void count(LinkFailure failure) {
    counts.get(failure).increment();
  }

  long total(LinkFailure failure) {
    return counts.get(failure).sum();
  }

  /**
   * Counts a failed connection and logs it, unless the last state of the peer is the same failure.
   */
  void connectionFailed(String peer, LinkFailure failure) {
    count(failure);
    if (recordState(peer, failure.name())) {
      LOGGER.warn("link {} failed: {}", peer, failure);
    }
  }

  void connected(String peer) {
    if (recordState(peer, CONNECTED)) {
      LOGGER.info("link {} is up", peer);
    }
  }

  void connectionLost(String peer) {
    if (recordState(peer, "lost")) {
      LOGGER.warn("link {} lost its connection", peer);
    }
  }

  /** Logs an internal error, such as an exception thrown by the listener. */
  void unexpectedError(String peer, Throwable cause) {
    LOGGER.error("link {} closed by an unexpected error", peer, cause);
  }

  /** Records the state of a peer; false when it is unchanged or too many peers are tracked. */
  private boolean recordState(String peer, String state) {
    if (lastStates.size() >= MAX_TRACKED_PEERS && !lastStates.containsKey(peer)) {
      return false;
    }
    return !state.equals(lastStates.put(peer, state));
  }
}
