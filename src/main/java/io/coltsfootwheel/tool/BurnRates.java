package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.time.Duration;
import java.util.Optional;

/**
 * Speed at which a service uses up its objectives in one window; 1.0 uses each budget exactly.
 *
 * @param answers share of requests not answered in time, divided by the share allowed
 * @param unavailable unavailable time, divided by the time allowed for the window
 * @param churn ownership changes, divided by the changes allowed for the window
 */
record BurnRates(double answers, double unavailable, double churn) {
  private static final double SECONDS_PER_DAY = Duration.ofDays(1).toSeconds();
  private static final double SECONDS_PER_HOUR = Duration.ofHours(1).toSeconds();
  private static final double MILLIS_PER_SECOND = 1_000;

  static BurnRates of(OperatorApi.BurnWindow window, OperatorApi.Objectives objectives) {
    double missedAllowed = 1 - objectives.answeredInTimeShare();
    double allowedSeconds =
        objectives.unavailableSecondsPerDay() * window.windowSeconds() / SECONDS_PER_DAY;
    double allowedSlots =
        objectives.churnSlotsPerHour() * window.windowSeconds() / SECONDS_PER_HOUR;
    return new BurnRates(
        ratio(missedShare(window), missedAllowed),
        ratio(window.unavailableMillis() / MILLIS_PER_SECOND, allowedSeconds),
        ratio(window.churnSlots(), allowedSlots));
  }

  static Optional<BurnRates> of(
      OperatorApi.BurnWindow window, Optional<OperatorApi.Objectives> objectives) {
    return objectives.map(values -> of(window, values));
  }

  /** Returns the share of requests that were late or lost, 0 without requests. */
  static double missedShare(OperatorApi.BurnWindow window) {
    double missed = window.late() + window.lost();
    return ratio(missed, window.answered() + missed);
  }

  private static double ratio(double value, double of) {
    return of == 0 ? 0 : value / of;
  }
}
