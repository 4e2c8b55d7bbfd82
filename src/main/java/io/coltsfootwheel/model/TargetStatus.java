package io.coltsfootwheel.model;

/** Replicated status of a target. */
public enum TargetStatus {
  /** Takes new work. */
  ACTIVE(true, true),
  /** Finishes what it has; takes no new work from unkeyed callers and gives its hash slots away. */
  DRAINING(false, true),
  /** Does not answer and holds no valid grant; its hash slots may be assigned to others. */
  LOST(false, false),
  /** Removed, or declared gone by an operator. */
  GONE(false, false);

  private final boolean takesNewSlots;
  private final boolean mayOwnSlots;

  TargetStatus(boolean takesNewSlots, boolean mayOwnSlots) {
    this.takesNewSlots = takesNewSlots;
    this.mayOwnSlots = mayOwnSlots;
  }

  /**
   * Tells whether placement may assign hash slots or unkeyed requests to the target.
   *
   * @return true for an active target
   */
  public boolean takesNewSlots() {
    return takesNewSlots;
  }

  /**
   * Tells whether the target may still own hash slots.
   *
   * @return false once its slots may be assigned to others
   */
  public boolean mayOwnSlots() {
    return mayOwnSlots;
  }
}
