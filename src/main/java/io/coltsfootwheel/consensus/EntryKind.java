package io.coltsfootwheel.consensus;

/** Content of a log entry. */
public enum EntryKind {
  /** Command for the state machine. */
  COMMAND,
  /** A new configuration. */
  CONFIGURATION,
  /**
   * First entry of a leader; contains the unchanged configuration, so that new members learn it.
   */
  NO_OP
}
