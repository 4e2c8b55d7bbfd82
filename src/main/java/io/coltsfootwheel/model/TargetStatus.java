package io.coltsfootwheel.model;

/** Replicated status of a target. */
public enum TargetStatus {
  /** Accepts new hash slots and unkeyed requests. */
  ACTIVE(true, true),
  /** Completes its requests, accepts no new unkeyed ones and hands its hash slots over. */
  DRAINING(false, true),
  /** Does not answer and has no valid grant; its hash slots may be assigned to other targets. */
  LOST(false, false),
  /** Removed, or marked as gone by an operator. */
  GONE(false, false);

  private final boolean takesNewSlots;
  private final boolean mayOwnSlots;

  TargetStatus(boolean takesNewSlots, boolean mayOwnSlots) {
    this.takesNewSlots = takesNewSlots;
    this.mayOwnSlots = mayOwnSlots;
  }

  /**
   * Returns whether hash slots or unkeyed requests may be assigned to the target.
   *
   * @return true for an active target
   */
  public boolean takesNewSlots() {
    return takesNewSlots;
  }

  /**
   * Returns whether the target may still own hash slots.
   *
   * @return false when its slots may be assigned to other targets
   */
  public boolean mayOwnSlots() {
    return mayOwnSlots;
  }
}
