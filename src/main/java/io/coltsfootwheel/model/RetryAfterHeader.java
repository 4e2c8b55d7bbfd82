package io.coltsfootwheel.model;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Value of a {@code Retry-After} header that a target has sent. */
public final class RetryAfterHeader {
  /** Longer pauses count as this one. */
  public static final long MAX_MILLIS = TimeUnit.DAYS.toMillis(1);

  private static final Pattern SECONDS = Pattern.compile("\\d{1,100}(\\.\\d{0,100})?");
  private static final double MILLIS_PER_SECOND = 1_000;

  private RetryAfterHeader() {}

  /**
   * Reads a delay in seconds, which may have a fraction. A date is not read, because clocks differ.
   *
   * @param value value of the header
   * @return the delay in milliseconds, at most {@link #MAX_MILLIS}; empty when the value is no
   *     number of seconds
   */
  public static OptionalLong millis(String value) {
    String trimmed = value.trim();
    return SECONDS.matcher(trimmed).matches()
        ? OptionalLong.of(
            (long) Math.min(MAX_MILLIS, Double.parseDouble(trimmed) * MILLIS_PER_SECOND))
        : OptionalLong.empty();
  }
}
