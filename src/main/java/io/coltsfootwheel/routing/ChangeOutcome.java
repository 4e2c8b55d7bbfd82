package io.coltsfootwheel.routing;

/** Result of judging a change of the configuration. */
public sealed interface ChangeOutcome {
  /**
   * The change fits and creates a new configuration.
   *
   * @param next the configuration after the change
   */
  record Applicable(Configuration next) implements ChangeOutcome {}

  /** The same order was accepted before; it is acknowledged again. */
  record AlreadyAccepted() implements ChangeOutcome {}

  /**
   * Another version is current.
   *
   * @param currentVersion the current version
   */
  record Conflict(long currentVersion) implements ChangeOutcome {}

  /**
   * The change breaks a rule of configurations.
   *
   * @param reason what is wrong, for the operator
   */
  record Invalid(String reason) implements ChangeOutcome {}
}
