package io.coltsfootwheel.link;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Counts failures by cause and logs a line only when the state of a peer changes. */
final class FailureLog {
  private static final Logger LOGGER = LogManager.getLogger(LinkTransport.class);

  /** Bounds the memory that unauthenticated remote addresses can take. */
  private static final int MAX_STATES = 1024;

  private static final String UP = "up";

  private final Map<LinkFailure, LongAdder> counts = new EnumMap<>(LinkFailure.class);
  private final Map<String, String> states = new ConcurrentHashMap<>();

  FailureLog() {
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

  /** Counts a failure of a connection and logs it unless it is the peer's last known state. */
  void failed(String peer, LinkFailure failure) {
    count(failure);
    if (change(peer, failure.name())) {
      LOGGER.warn("link {} failed: {}", peer, failure);
    }
  }

  void up(String peer) {
    if (change(peer, UP)) {
      LOGGER.info("link {} is up", peer);
    }
  }

  void lost(String peer) {
    if (change(peer, "lost")) {
      LOGGER.warn("link {} lost", peer);
    }
  }

  /** Reports a fault of this process, such as an exception of the listener. */
  void unexpected(String peer, Throwable cause) {
    LOGGER.error("link {} closed after an unexpected error", peer, cause);
  }

  private boolean change(String peer, String state) {
    if (states.size() >= MAX_STATES && !states.containsKey(peer)) {
      return false;
    }
    return !state.equals(states.put(peer, state));
  }
}
