package io.coltsfootwheel.deployment;

import java.util.Map;

/**
 * Read of the configuration at a control process.
 *
 * @param control name of the asked control process
 * @param status status of the response, or 0 without one
 * @param version version read, or 0 without one
 * @param routes service by route name
 * @param sentMillis time before the read was sent
 * @param isFinal whether it is the read at the end of the run, which has to succeed
 */
record ConfigurationRead(
    String control,
    int status,
    long version,
    Map<String, String> routes,
    long sentMillis,
    boolean isFinal) {
  private static final int OK = 200;

  boolean isAnswered() {
    return status == OK;
  }

  @Override
  public String toString() {
    return "%s%s reads r%d, status %d, sent at %d ms"
        .formatted(isFinal ? "final: " : "", control, version, status, sentMillis);
  }
}
