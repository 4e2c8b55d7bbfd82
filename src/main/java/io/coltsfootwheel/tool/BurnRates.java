package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.time.Duration;
import java.util.Optional;

/**
 * Rates at which a service uses up its error budgets in one window; at 1.0 the budget of the window
 * is used up exactly.
 *
 * @param answers share of requests not answered in time, divided by the allowed share
 * @param unavailable unavailable time, divided by the time allowed in the window
 * @param churn ownership changes of hash slots, divided by the number allowed in the window
 */
record BurnRates(double answers, double unavailable, double churn) {
  private static final double SECONDS_PER_DAY = Duration.ofDays(1).toSeconds();
  private static final double SECONDS_PER_HOUR = Duration.ofHours(1).toSeconds();
  private static final double MILLIS_PER_SECOND = 1_000;

  static BurnRates of(OperatorApi.BurnWindow window, OperatorApi.Objectives objectives) {
    double allowedMissedShare = 1 - objectives.answeredInTimeShare();
    double allowedUnavailableSeconds =
        objectives.unavailableSecondsPerDay() * window.windowSeconds() / SECONDS_PER_DAY;
    double allowedSlots =
        objectives.churnSlotsPerHour() * window.windowSeconds() / SECONDS_PER_HOUR;
    return new BurnRates(
        ratio(missedShare(window), allowedMissedShare),
        ratio(window.unavailableMillis() / MILLIS_PER_SECOND, allowedUnavailableSeconds),
        ratio(window.churnSlots(), allowedSlots));
  }

  static Optional<BurnRates> of(
      OperatorApi.BurnWindow window, Optional<OperatorApi.Objectives> objectives) {
    return objectives.map(values -> of(window, values));
  }

  /** Returns the share of requests that were late or lost, or 0 if there were no requests. */
  static double missedShare(OperatorApi.BurnWindow window) {
    double missed = window.late() + window.lost();
    return ratio(missed, window.answered() + missed);
  }

  private static double ratio(double used, double allowed) {
    return allowed == 0 ? 0 : used / allowed;
  }
}
