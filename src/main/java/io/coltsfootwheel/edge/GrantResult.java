package io.coltsfootwheel.edge;

/** Result of a grant that was sent to a target. */
public sealed interface GrantResult {
  /**
   * The target accepted the grant.
   *
   * @param fence fence that the target holds now
   * @param running requests running under this fence
   * @param runningOlder requests running under older fences
   * @param clockMillis reading of the target's monotonic clock
   */
  record Granted(long fence, int running, int runningOlder, long clockMillis)
      implements GrantResult {}

  /** The target has seen a higher fence (409). */
  record Outdated() implements GrantResult {}

  /**
   * There was no usable answer in time.
   *
   * @param cause why
   */
  record Failed(String cause) implements GrantResult {}
}
