package io.coltsfootwheel.dispatch;

/** Limits what each customer may use, as its plan allows. */
final class AdmissionLimiter {
  /** Life of leased concurrency permits. */
  static final int PERMIT_MILLIS = 2_000;
}
