package io.coltsfootwheel.consensus;

/** Kind of a membership change. */
public enum MembershipChange {
  /** Adds a learner. */
  ADD_LEARNER,
  /** Makes a learner a voter. */
  PROMOTE,
  /** Removes a learner or voter. */
  REMOVE
}
