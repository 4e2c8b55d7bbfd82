package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Simulated callers that send non-idempotent requests with stamped identities, and resend them
 * after a refusal or a time-out and sometimes after a response.
 */
final class Callers {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long RESEND_TIMEOUT_NANOS = 3_000 * MILLI;

  /** Request of a caller, with the identity that it keeps on every send. */
  record IdentifiedRequest(String value, long stamp, String key) {}

  private final SimulatedSystem system;
  private final List<IdentifiedRequest> sentRequests = new ArrayList<>();
  private int newRequests;
  private int newRequestsAnswered;

  Callers(SimulatedSystem system) {
    this.system = system;
  }

  /** Restarts the counts of new requests and of those that a target answered. */
  void resetCounts() {
    newRequests = 0;
    newRequestsAnswered = 0;
  }

  int newRequests() {
    return newRequests;
  }

  int newRequestsAnswered() {
    return newRequestsAnswered;
  }

  /**
   * Sends a request with a new identity or, with a probability of 0.2, resends one of the last 400.
   */
  void sendNext() {
    Optional<SimulatedInstance> stampSource = system.anyRunning();
    if (stampSource.isEmpty()) {
      return;
    }
    if (!sentRequests.isEmpty() && system.random().nextDouble() < 0.2) {
      int recentCount = Math.min(sentRequests.size(), 400);
      send(
          sentRequests.get(sentRequests.size() - 1 - system.random().nextInt(recentCount)),
          0,
          false);
      return;
    }
    String key = "key-" + system.random().nextInt(100);
    long stamp = stampSource.get().state().appliedIndex();
    IdentifiedRequest identified =
        new IdentifiedRequest(stamp + ":" + sentRequests.size(), stamp, key);
    sentRequests.add(identified);
    newRequests++;
    send(identified, 0, true);
  }

  private void send(IdentifiedRequest identified, int resends, boolean isCounted) {
    Optional<SimulatedInstance> entry = system.anyRunning();
    if (entry.isPresent()) {
      Attempt attempt = new Attempt(identified, resends, isCounted);
      entry.get().drivers().accept(attempt, 100 + system.random().nextLong(1_500));
      system.after(RESEND_TIMEOUT_NANOS, attempt::timedOut);
    }
  }

  /** One send of a request by its caller. */
  final class Attempt {
    private final IdentifiedRequest identified;
    private final int resends;
    private final boolean isCounted;
    private String requestName = "";
    private boolean ended;

    private Attempt(IdentifiedRequest identified, int resends, boolean isCounted) {
      this.identified = identified;
      this.resends = resends;
      this.isCounted = isCounted;
    }

    IdentifiedRequest identified() {
      return identified;
    }

    void sentAs(String newRequestName) {
      requestName = newRequestName;
    }

    void completed() {
      ended = true;
      system.checker().responseReceived(requestName);
      if (isCounted) {
        newRequestsAnswered++;
      }
      if (system.random().nextDouble() < 0.05) {
        resend();
      }
    }

    void refused(ErrorKind kind) {
      ended = true;
      system.checker().routerAnswered(requestName, kind.outcome(), identified.value(), kind.name());
      if (kind.outcome() == Outcome.NOT_RUN || system.random().nextBoolean()) {
        resend();
      }
    }

    private void timedOut() {
      if (!ended) {
        resend();
      }
    }

    private void resend() {
      if (resends < 4) {
        long delayNanos = 1 + system.random().nextLong(300 * MILLI);
        system.after(delayNanos, () -> send(identified, resends + 1, isCounted));
      }
    }
  }
}
