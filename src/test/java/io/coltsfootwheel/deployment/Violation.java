package io.coltsfootwheel.deployment;

/**
 * Broken rule.
 *
 * @param rule rule
 * @param detail what was seen
 */
record Violation(Rule rule, String detail) {
  /** Rules that the run judges. */
  enum Rule {
    /** An answer is older than a confirmed version. */
    CONFIG_LATE,
    /** A machine goes back to an older version in one boot. */
    CONFIG_REGRESSED,
    /** A read returns an older version than a confirmed one, or other contents. */
    CONFIG_READ,
    /** A refused change is in force. */
    CONFIG_REFUSED_IN_FORCE,
    /** An invalid or stale change, or two changes on one version, are acknowledged. */
    CONFIG_ACKNOWLEDGED,
    /** A confirmed change is refused when it is sent again. */
    CONFIG_REPEAT_REFUSED,
    /** A confirmed change is gone at the end. */
    LOST,
    /** A proper change has no acknowledgement in time. */
    ACKS,
    /** A process ends by itself or does not start. */
    FAULT,
    /** A request is refused though all configurations allow it. */
    DENIED,
    /** A request is run by a service that no configuration allows. */
    ROUTE
  }
}
