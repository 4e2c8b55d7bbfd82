package io.coltsfootwheel.deployment;

/** Bounds of the deployment, as its settings files give them. */
final class Bounds {
  static final long SEED_LAG_MILLIS = 3_000;
  static final long CONTACT_WINDOW_MILLIS = 3_000;
  static final long ACK_TIMEOUT_MILLIS = 4_000;
  static final long ACK_MILLIS_PER_ROUTE = 3;
  static final long CATCH_UP_MILLIS = 4_000;
  static final long GRACE_MILLIS = 6_000;
  static final long CONFIG_APPLY_MILLIS = 2_000;
  static final long ROLLBACK_SLACK_MILLIS = 250;
  static final long MAX_STRETCH_MILLIS = 5_000;

  /** Longest time of stable core from the start of a process until it is ready. */
  static final long START_MILLIS = 30_000;

  private Bounds() {}
}
