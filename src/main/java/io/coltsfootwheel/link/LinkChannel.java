package io.coltsfootwheel.link;

/**
 * Channel to a peer; each channel has its own connection, so that large responses do not delay
 * heartbeats.
 */
public enum LinkChannel {
  /** Consensus messages, leases, proposals and control state. */
  CONTROL,
  /** Forwarded requests of callers and their responses. */
  DATA
}
