package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Callers that send non-idempotent requests with stamped identities and resend them. */
final class Callers {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long GIVE_UP_NANOS = 3_000 * MILLI;

  /** Identity of a request, kept by its caller over all sends. */
  record Known(String value, long stamp, String key) {}

  private final World world;
  private final List<Known> identities = new ArrayList<>();
  private int fresh;
  private int freshAnswered;

  Callers(World world) {
    this.world = world;
  }

  /** Starts to count fresh requests and those that a target answered. */
  void resetCounts() {
    fresh = 0;
    freshAnswered = 0;
  }

  int fresh() {
    return fresh;
  }

  int freshAnswered() {
    return freshAnswered;
  }

  /** Sends a request with a new identity, or now and then one with an old identity. */
  void sendNext() {
    Optional<SimulatedInstance> reader = world.anyRunning();
    if (reader.isEmpty()) {
      return;
    }
    if (!identities.isEmpty() && world.random().nextDouble() < 0.2) {
      int recent = Math.min(identities.size(), 400);
      send(identities.get(identities.size() - 1 - world.random().nextInt(recent)), 0, false);
      return;
    }
    String key = "key-" + world.random().nextInt(100);
    long stamp = reader.get().state().appliedIndex();
    Known known = new Known(stamp + ":" + identities.size(), stamp, key);
    identities.add(known);
    fresh++;
    send(known, 0, true);
  }

  private void send(Known known, int resends, boolean counted) {
    Optional<SimulatedInstance> entry = world.anyRunning();
    if (entry.isPresent()) {
      Attempt attempt = new Attempt(known, resends, counted);
      entry.get().drivers().arrive(attempt, 100 + world.random().nextLong(1_500));
      world.after(GIVE_UP_NANOS, attempt::givenUp);
    }
  }

  /** One send of a caller. */
  final class Attempt {
    private final Known known;
    private final int resends;
    private final boolean counted;
    private String name = "";
    private boolean ended;

    private Attempt(Known known, int resends, boolean counted) {
      this.known = known;
      this.resends = resends;
      this.counted = counted;
    }

    Known known() {
      return known;
    }

    void sentAs(String newName) {
      name = newName;
    }

    void completed() {
      ended = true;
      world.checker().answered(name);
      if (counted) {
        freshAnswered++;
      }
      if (world.random().nextDouble() < 0.05) {
        resend();
      }
    }

    void refused(ErrorKind kind) {
      ended = true;
      world.checker().told(name, kind.outcome(), known.value(), kind.name());
      if (kind.outcome() == Outcome.NOT_RUN || world.random().nextBoolean()) {
        resend();
      }
    }

    private void givenUp() {
      if (!ended) {
        resend();
      }
    }

    private void resend() {
      if (resends < 4) {
        long delayNanos = 1 + world.random().nextLong(300 * MILLI);
        world.after(delayNanos, () -> send(known, resends + 1, counted));
      }
    }
  }
}
