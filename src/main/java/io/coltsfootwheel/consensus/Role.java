package io.coltsfootwheel.consensus;

/** Role of a member as announced to the daemon. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Asks for votes, or asks whether votes would be granted. */
  CANDIDATE,
  /** Has won an election; the no-op entry of its term is not yet applied. */
  LEADER_STARTING,
  /** Leads, and everything committed before its term is applied; accepts proposals. */
  LEADER_READY,
  /** Has lost its journal and takes part in nothing. */
  FAILED
}
