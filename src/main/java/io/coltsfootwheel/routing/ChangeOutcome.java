package io.coltsfootwheel.routing;

/** Result of evaluating a change against the current configuration. */
public sealed interface ChangeOutcome {
  /**
   * The change applies to the current version and yields a valid configuration.
   *
   * @param next the configuration after the change
   */
  record Applicable(Configuration next) implements ChangeOutcome {}

  /** The same change was accepted before; its repetition is acknowledged without effect. */
  record AlreadyAccepted() implements ChangeOutcome {}

  /**
   * The change is based on a version that is not the current one.
   *
   * @param currentVersion the current version
   */
  record Conflict(long currentVersion) implements ChangeOutcome {}

  /**
   * The change would yield an invalid configuration.
   *
   * @param reason description of the violation, for the operator
   */
  record Invalid(String reason) implements ChangeOutcome {}
}
