package io.coltsfootwheel.consensus;

/**
 * Reason why a proposal or membership change was rejected.
 *
 * <p>Except for {@link #OUTCOME_UNKNOWN}, the proposal is not in the log.
 */
public enum ProposalFailure {
  /** This member does not lead, or has not yet applied everything committed before its term. */
  NOT_LEADER,
  /** The leader already has the maximum number of uncommitted entries. */
  OVERLOADED,
  /** An earlier membership change is not committed yet. */
  CHANGE_IN_PROGRESS,
  /** The change cannot be applied to the current configuration. */
  INVALID_CHANGE,
  /** The learner to promote does not hold all committed entries yet. */
  LEARNER_BEHIND,
  /** Too few voters respond to promote a learner without a risk to the quorum. */
  VOTERS_SILENT,
  /** Leadership was lost after the proposal was appended; the proposal may still be committed. */
  OUTCOME_UNKNOWN
}
