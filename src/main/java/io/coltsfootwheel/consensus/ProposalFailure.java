package io.coltsfootwheel.consensus;

/** Why a proposal or membership change was rejected. */
public enum ProposalFailure {
  /** This member is no ready leader; the proposal is not in the log. */
  NOT_LEADER,
  /** Too many entries wait for their commit; the proposal is not in the log. */
  OVERLOADED,
  /** Another membership change is not yet committed; the proposal is not in the log. */
  CHANGE_IN_PROGRESS,
  /** The change does not fit the configuration; the proposal is not in the log. */
  INVALID_CHANGE,
  /** The learner does not hold everything committed yet; the proposal is not in the log. */
  LEARNER_BEHIND,
  /** Too few voters answer to promote a learner safely; the proposal is not in the log. */
  VOTERS_SILENT,
  /** Leadership was lost after the proposal was appended; it may still be committed. */
  OUTCOME_UNKNOWN
}
