package io.coltsfootwheel.relay;

/** States of a relay from its start to its end, in the order in which they follow each other. */
enum StopState {
  /** Requests are served and connections stay open. */
  SERVING,

  /** Requests are served, and each response closes its connection. */
  ANNOUNCING,

  /** New requests are refused; connections close when nothing is in progress on them. */
  DRAINING,

  /** All connections are closed. */
  STOPPED;

  boolean closesConnections() {
    return this != SERVING;
  }

  boolean refusesRequests() {
    return this == DRAINING || this == STOPPED;
  }
}
