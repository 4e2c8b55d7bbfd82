package io.coltsfootwheel.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Format of log lines. */
public enum LogFormat {
  /** One human-readable line per event. */
  TEXT,
  /** One JSON object per event. */
  JSON;

  /**
   * Parses the name used in settings.
   *
   * @param text the name in lower case
   * @return the format, or empty if no format has this name
   */
  public static Optional<LogFormat> parse(String text) {
    return Arrays.stream(values()).filter(f -> f.text().equals(text)).findFirst();
  }

  /**
   * Returns the name used in settings.
   *
   * @return the name in lower case
   */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
