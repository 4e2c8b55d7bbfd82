package io.coltsfootwheel.consensus;

/** Role of a member, as reported to the driver. */
public enum Role {
  /** Follows a leader or waits for one. */
  FOLLOWER,
  /** Asks for pre-votes or votes. */
  CANDIDATE,
  /** Has won an election; the no-op entry of its term is not yet applied. */
  LEADER_STARTING,
  /** Leads and accepts proposals; has applied everything that was committed before its term. */
  LEADER_READY,
  /** A write to the journal failed; no longer votes, replicates or accepts requests. */
  FAILED
}
