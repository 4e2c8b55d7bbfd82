package io.coltsfootwheel.consensus;

/** What a log entry contains. */
public enum EntryKind {
  /** Command for the state machine. */
  COMMAND,
  /** A new configuration. */
  CONFIGURATION,
  /** Start of a term; contains the unchanged configuration so that newcomers learn it. */
  NO_OP
}
