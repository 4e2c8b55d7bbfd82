package io.coltsfootwheel.loadcontrol;

/**
 * Properties of a target on which its selection for a request depends.
 *
 * @param slots requests that it executes at the same time
 * @param millisPerRequest time for which one request occupies a slot
 * @param waitMillis expected wait until a slot is free, 0 when one is
 * @param ownZone whether it is in the availability zone of the entry
 * @param idleConnection whether the entry has an idle connection to it
 * @param alreadyTried whether the request was sent to it before
 * @param suspect whether it did not respond lately
 * @param leaving whether it is about to leave
 */
public record TargetCandidate(
    int slots,
    double millisPerRequest,
    double waitMillis,
    boolean ownZone,
    boolean idleConnection,
    boolean alreadyTried,
    boolean suspect,
    boolean leaving) {
  /** Raises a time per request below 1 ms, by which room is divided. */
  public TargetCandidate {
    millisPerRequest = Math.max(1, millisPerRequest);
  }

  boolean isUsable() {
    return !alreadyTried && !suspect && !leaving;
  }

  double expectedResponseMillis() {
    return waitMillis + millisPerRequest;
  }
}
