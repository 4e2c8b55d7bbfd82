package io.coltsfootwheel.link;

/** Separate connections to a peer, so that large responses do not delay heartbeats. */
public enum LinkChannel {
  /** Consensus, leases, proposals and control state. */
  CONTROL,
  /** Requests and responses of callers. */
  DATA
}
