package io.coltsfootwheel.edge;

/** Result of sending a grant to a target. */
public sealed interface GrantResult {
  /**
   * The target accepted the grant.
   *
   * @param fence current fence of the target
   * @param running number of requests running under this fence
   * @param runningOlder number of requests running under older fences
   * @param clockMillis reading of the target's monotonic clock
   */
  record Granted(long fence, int running, int runningOlder, long clockMillis)
      implements GrantResult {}

  /** The target knows a higher fence (409). */
  record Outdated() implements GrantResult {}

  /**
   * The target did not send a usable response in time.
   *
   * @param cause description of the failure
   */
  record Failed(String cause) implements GrantResult {}
}
