package io.coltsfootwheel.link;

/** Purposes of the separate connections to a peer; large responses must not delay heartbeats. */
public enum LinkChannel {
  /** Consensus messages, leases, proposals and control state. */
  CONTROL,
  /** Forwarded requests of callers and their responses. */
  DATA
}
