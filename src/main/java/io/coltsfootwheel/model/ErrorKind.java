package io.coltsfootwheel.model;

import java.util.Locale;

/** Error kinds, each with a stable code, an HTTP status, a request outcome and a remedy. */
public enum ErrorKind {
  INVALID_VALUE(400, Outcome.NOT_RUN, "correct the named value"),
  INVALID_SETTINGS(400, Outcome.NOT_RUN, "correct the named settings and run check-config"),
  INVALID_REQUEST(400, Outcome.NOT_RUN, "correct the request as docs/CALLERS.md describes"),
  UNAUTHORIZED(401, Outcome.NOT_RUN, "send the operator token of this cluster"),
  NOT_ALLOWED_BY_PLAN(403, Outcome.NOT_RUN, "use a service that the customer's plan allows"),
  UNKNOWN_SERVICE(404, Outcome.NOT_RUN, "use a configured service name"),
  NOT_FOUND(404, Outcome.NOT_RUN, "check the name with 'coltsfootwheel status'"),
  CONFLICT(409, Outcome.NOT_RUN, "read the current lists, merge and apply again"),
  MEMBERSHIP_REFUSED(
      409, Outcome.NOT_RUN, "do as the detail says; 'coltsfootwheel members' shows the group"),
  IDENTITY_IN_USE(409, Outcome.UNKNOWN, "wait for the first request with this identity to end"),
  IDENTITY_TOO_OLD(
      409,
      Outcome.UNKNOWN,
      "if this was the first send, take a new identity made with the current stamp"),
  IDENTITY_ALREADY_RUN(409, Outcome.RUN, "do not send again; read the result from the service"),
  BODY_TOO_LARGE(413, Outcome.NOT_RUN, "send a smaller body"),
  RATE_LIMITED(429, Outcome.NOT_RUN, "wait as Retry-After says or raise the plan's allowance"),
  CONCURRENCY_LIMITED(429, Outcome.NOT_RUN, "wait for requests in flight to end"),
  OVERLOADED(503, Outcome.NOT_RUN, "send again as Retry-After says"),
  DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN, "send again with a later deadline"),
  NO_OWNER(503, Outcome.NOT_RUN, "send again; ownership of the key is being moved"),
  NO_LEASE(
      503, Outcome.NOT_RUN, "send again; the instance has lost contact with the control group"),
  NOT_LEADER(503, Outcome.NOT_RUN, "send to the control leader"),
  NO_QUORUM(503, Outcome.NOT_RUN, "restart control members until a majority runs"),
  STALE_FENCE(503, Outcome.NOT_RUN, "send again; another instance dispatches to the target now"),
  SHUTTING_DOWN(503, Outcome.NOT_RUN, "send again to another instance"),
  TARGET_REFUSED(503, Outcome.NOT_RUN, "send again as Retry-After says"),
  CHANGE_OUTCOME_UNKNOWN(503, Outcome.UNKNOWN, "send the change again with the same identity"),
  TARGET_FAILED(502, Outcome.UNKNOWN, "read the state from the service before sending again"),
  DEADLINE_EXCEEDED(504, Outcome.UNKNOWN, "read the state from the service before sending again"),
  JOURNAL_CORRUPT(
      500, Outcome.UNKNOWN, "replace this member's data folder; see docs/OPERATIONS.md"),
  JOURNAL_FAILED(500, Outcome.UNKNOWN, "free the disk, or replace it and restart the instance"),
  UNSUPPORTED_VERSION(500, Outcome.UNKNOWN, "run the version that wrote the file, or a newer one"),
  INVARIANT_VIOLATED(500, Outcome.UNKNOWN, "keep the log and report this as a fault");

  private final int httpStatus;
  private final Outcome outcome;
  private final String remedy;

  ErrorKind(int httpStatus, Outcome outcome, String remedy) {
    this.httpStatus = httpStatus;
    this.outcome = outcome;
    this.remedy = remedy;
  }

  /**
   * Returns the stable code used in responses, logs and metrics.
   *
   * @return the name in lower case with hyphens
   */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the HTTP status of a response with this error.
   *
   * @return the status code
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether a request that failed with this error was executed.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns what a caller or operator can do about the error.
   *
   * @return the remedy
   */
  public String remedy() {
    return remedy;
  }
}
