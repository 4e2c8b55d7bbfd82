package io.coltsfootwheel.deployment;

import java.util.Map;
import java.util.Set;

/**
 * Change of the configuration that the operator sent, unchanged, until it got a clear answer.
 *
 * @param version version that the change makes
 * @param base version that it builds on
 * @param kind what the rules say of it
 * @param name what the change does, for reports
 * @param routes service by route name after the change
 * @param sentMillis time at which it was first sent
 * @param endedMillis time of its clear answer, or at which the operator gave up
 * @param status status of the clear answer, or 0 without one
 */
record Change(
    long version,
    long base,
    Kind kind,
    String name,
    Map<String, String> routes,
    long sentMillis,
    long endedMillis,
    int status) {
  /** Statuses that end a call by the operator. */
  static final Set<Integer> CLEAR_STATUSES = Set.of(200, 400, 409, 412, 413, 422);

  private static final int OK = 200;

  /** What the rules say of a change. */
  enum Kind {
    /** Valid, on the newest version, and no other change is on its way. */
    PROPER,
    /** Valid, and sent beside another one on the same version. */
    RACING,
    /** Invalid, or not readable in full. */
    INVALID,
    /** Builds on a version that is not the newest one. */
    STALE,
    /** A confirmed change sent once more, with no other change since. */
    REPEATED
  }

  boolean isConfirmed() {
    return status == OK;
  }

  boolean isRefused() {
    return !isConfirmed() && CLEAR_STATUSES.contains(status);
  }

  /** Returns whether this change in force explains a response; an invalid one explains any. */
  boolean explains(Probe probe) {
    return isOpaque() || probe.isAllowedBy(routes);
  }

  /** Returns whether the contents in force are not known if this change is taken. */
  boolean isOpaque() {
    return kind == Kind.INVALID && !isRefused();
  }

  @Override
  public String toString() {
    return "%s change r%d on r%d (%s), sent at %d ms, status %d at %d ms"
        .formatted(kind, version, base, name, sentMillis, status, endedMillis);
  }
}
