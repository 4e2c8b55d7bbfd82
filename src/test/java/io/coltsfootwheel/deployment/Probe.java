package io.coltsfootwheel.deployment;

import java.util.Map;
import java.util.Optional;

/**
 * Request to an entry and what its client saw.
 *
 * @param entry name of the entry
 * @param boot number of the entry's start, or 0 if it was started while the request was on its way
 * @param route name of the requested route
 * @param status status of the response, or 0 without a complete one
 * @param service service that ran the request, if one did
 * @param sentMillis time before the request was sent
 * @param answeredMillis time after its response was read
 */
record Probe(
    String entry,
    int boot,
    String route,
    int status,
    Optional<String> service,
    long sentMillis,
    long answeredMillis) {
  private static final int NOT_FOUND = 404;

  boolean isNotFound() {
    return status == NOT_FOUND;
  }

  /** Returns whether the response shows how the entry reads its configuration. */
  boolean showsConfiguration() {
    return isNotFound() || service.isPresent();
  }

  /** Returns whether a configuration with these routes explains the response. */
  boolean isAllowedBy(Map<String, String> routes) {
    return Optional.ofNullable(routes.get(route)).equals(isNotFound() ? Optional.empty() : service);
  }

  @Override
  public String toString() {
    return "%s (boot %d) answers /%s/ with %s, sent at %d ms, answered at %d ms"
        .formatted(
            entry,
            boot,
            route,
            service.map(s -> status + " of " + s).orElse(Integer.toString(status)),
            sentMillis,
            answeredMillis);
  }
}
