package io.coltsfootwheel.platform;

import java.util.Arrays;
import java.util.Optional;

/** Bounds of the platform that the processes use, each a text {@code name=value}. */
enum PlatformBound {
  GRACE_SECONDS("graceS", 6, 0, 86_400),
  CATCH_UP_SECONDS("catchUpS", 4, 0, 86_400),
  MAX_HOLD_MILLIS("maxHoldMs", 10_000, 1, 86_400_000),
  DRAIN_MILLIS("drainMs", 2_000, 0, 86_400_000),

  /** Without a value of its own the drain time of the settings takes its place. */
  EVACUATION_MILLIS("evacuationMs", DRAIN_MILLIS.defaultValue, 0, 86_400_000),
  RETRY_BUDGET_RATIO("retryBudgetRatio", 0.1, 0, 1_000),
  RETRY_BUDGET_SLACK("retryBudgetSlack", 10, 0, 1_000_000_000),
  BUDGET_WINDOW_SECONDS("budgetWindowS", 10, 0.001, 86_400),
  WARMUP_OVERSHOOT("warmupOvershoot", 1.5, 0, 1_000),
  WARMUP_SLACK("warmupSlack", 8, 0, 1_000_000_000);

  private final String wireName;
  private final double defaultValue;
  private final double min;
  private final double max;

  PlatformBound(String wireName, double defaultValue, double min, double max) {
    this.wireName = wireName;
    this.defaultValue = defaultValue;
    this.min = min;
    this.max = max;
  }

  /** Finds the bound that a text names; empty for bounds that no process uses. */
  static Optional<PlatformBound> named(String text) {
    String name = text.split("=", 2)[0].trim();
    return Arrays.stream(values()).filter(bound -> bound.wireName.equals(name)).findFirst();
  }

  String wireName() {
    return wireName;
  }

  /** Returns the value when the settings do not name the bound. */
  double defaultValue() {
    return defaultValue;
  }

  /** Returns the value in a text that names this bound, or empty when it is not in range. */
  Optional<Double> parse(String text) {
    try {
      return Optional.of(Double.parseDouble(text.substring(text.indexOf('=') + 1)))
          .filter(value -> value >= min && value <= max);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  String expectedText() {
    return wireName + "= and a number from " + ValueType.plain(min) + " to " + ValueType.plain(max);
  }
}
