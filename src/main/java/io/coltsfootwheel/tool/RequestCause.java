package io.coltsfootwheel.tool;

import java.util.Arrays;

/** Cause of the result of a request, found from the {@code detail} of its last event. */
enum RequestCause {
  STARTING("no routing information yet") {
    @Override
    String sentence(EventLine lastEvent) {
      return lastEvent.instance()
          + " had just started and had not received routes and targets yet; not run.";
    }
  },
  KEY_MOVING("key is moving") {
    @Override
    String sentence(EventLine lastEvent) {
      return "Key "
          + lastEvent.text("key")
          + " was being moved to another target, and the grant on that target did not come"
          + " within the time that the request could wait; not run.";
    }
  },
  OWNER_LEAVING("owner is leaving") {
    @Override
    String sentence(EventLine lastEvent) {
      return "The owner of key " + lastEvent.text("key") + " was leaving or gone; not run.";
    }
  },
  NO_OWNER("key has no owner") {
    @Override
    String sentence(EventLine lastEvent) {
      return "Key "
          + lastEvent.text("key")
          + " had no owner after its last owner was lost; not run.";
    }
  },
  STALE_OWNERSHIP_VIEW("target does not hold the key") {
    @Override
    String sentence(EventLine lastEvent) {
      return lastEvent.instance()
          + " routed by a view of the ownership, "
          + lastEvent.text("view_age_ms")
          + " ms after its last contact with the leader; "
          + lastEvent.text("targets")
          + " did not hold the key; not run.";
    }
  },
  OVERLOAD(
      "not enough time left",
      "target queue is full",
      "share of the target's limit is used",
      "target rejected the request") {
    @Override
    String sentence(EventLine lastEvent) {
      String load =
          lastEvent.text("considered").isEmpty()
              ? ""
              : " (%s: %s in flight, %s ms each)"
                  .formatted(
                      lastEvent.text("considered"),
                      lastEvent.text("in_flight"),
                      lastEvent.text("ms_per_request"));
      return "The target of this request had more work ahead than its latency objective allows"
          + load
          + "; not run.";
    }
  },
  PAUSED_TARGET("target wants no requests for a time") {
    @Override
    String sentence(EventLine lastEvent) {
      return "Target "
          + lastEvent.text("considered")
          + " had refused a request and asked for none for a time (target.paused); not run.";
    }
  },
  UNRESPONSIVE_TARGET("target did not answer in time", "owner does not answer") {
    @Override
    String sentence(EventLine lastEvent) {
      return "Target "
          + lastEvent.text("targets")
          + " did not answer; it may have run the request.";
    }
  },
  BROKEN_CONNECTION("connection to the target") {
    @Override
    String sentence(EventLine lastEvent) {
      return "The connection to "
          + lastEvent.text("targets")
          + " ended without a usable answer ("
          + lastEvent.text("last_failure")
          + ").";
    }
  },
  OUTDATED_ROUTING("changes of routes and targets arrive too late") {
    @Override
    String sentence(EventLine lastEvent) {
      return "The routes of "
          + lastEvent.instance()
          + " were confirmed "
          + lastEvent.text("routes_age_ms")
          + " ms before, its targets and owners "
          + lastEvent.text("owners_age_ms")
          + " ms before (-1: never), while the leader answered; not run.";
    }
  },
  UNKNOWN_ROUTE("no route matches") {
    @Override
    String sentence(EventLine lastEvent) {
      return "No route matched in version " + lastEvent.text("configuration") + "; not run.";
    }
  },
  NO_TARGETS("service has no targets", "service is not configured") {
    @Override
    String sentence(EventLine lastEvent) {
      return "Service " + lastEvent.text("service") + " had no target; not run.";
    }
  },
  DEADLINE("deadline passed") {
    @Override
    String sentence(EventLine lastEvent) {
      return "The deadline passed after " + lastEvent.text("total_ms") + " ms.";
    }
  },
  OTHER("") {
    @Override
    String sentence(EventLine lastEvent) {
      return "The last event is " + lastEvent.event() + " " + lastEvent.text("detail") + ".";
    }
  };

  /** Status of the response to a request that may have run. */
  private static final String BAD_GATEWAY = "502";

  private final String[] matchedDetails;

  RequestCause(String... matchedDetails) {
    this.matchedDetails = matchedDetails;
  }

  /**
   * Finds the cause from the last event of a request.
   *
   * <p>For a request that may have run and was not resent, the cause is the failure of the last
   * attempt, not the reason for which it was not resent.
   */
  static RequestCause of(EventLine lastEvent) {
    boolean mayHaveRun = lastEvent.text("detail").startsWith(BAD_GATEWAY);
    String detail = lastEvent.text(mayHaveRun ? "last_failure" : "detail");
    return Arrays.stream(values())
        .filter(cause -> Arrays.stream(cause.matchedDetails).anyMatch(detail::contains))
        .findFirst()
        .orElse(OTHER);
  }

  /** Returns the cause in one sentence, with the fields of the last event. */
  abstract String sentence(EventLine lastEvent);
}
