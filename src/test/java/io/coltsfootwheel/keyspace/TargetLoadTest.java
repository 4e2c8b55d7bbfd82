package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TargetLoadTest {
  private static final InstanceId ENTRY = InstanceId.of("e");
  private static final int SLOTS = 2;
  private static final int STEP_MILLIS = 10;

  /** Relative deviation of the estimate of a steady target that the planner tolerates. */
  private static final double MAX_RELATIVE_DEVIATION = 0.5;

  private final TargetLoad load = new TargetLoad();
  private final List<Double> endMillis = new ArrayList<>();
  private double nowMillis = 1_000;
  private int completed;

  /** Simulates random arrivals at a target that serves two requests at a time. */
  private void run(
      Random random, double millis, double requestsPerSecond, double meanServiceMillis) {
    double end = nowMillis + millis;
    while (nowMillis < end) {
      nowMillis += STEP_MILLIS;
      completed += finish();
      boolean arrives = random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1_000;
      if (arrives && endMillis.size() < SLOTS) {
        endMillis.add(nowMillis + meanServiceMillis * (0.5 + random.nextDouble()));
      }
      if ((long) nowMillis % 100 == 0) {
        load.add(nanos(), ENTRY, SLOTS, observation(endMillis.size(), completed));
        completed = 0;
      }
    }
  }

  private static LoadReport.TargetObservation observation(int inFlight, int completed) {
    return new LoadReport.TargetObservation(TargetId.of("t"), inFlight, completed);
  }

  private int finish() {
    int before = endMillis.size();
    endMillis.removeIf(e -> e <= nowMillis);
    return before - endMillis.size();
  }

  private long nanos() {
    return (long) (nowMillis * 1e6);
  }

  /**
   * Load: a busy target becomes four times slower. Guards against an average over many fast
   * requests that hides the slowdown: 1.5 s later, the estimated time per request must have at
   * least doubled.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void slowdownIsDetectedWithinOneAndAHalfSeconds(long seed) {
    Random random = new Random(seed);
    run(random, 10_000, 16, 90);
    double before = load.secondsPerRequest(nanos());
    run(random, 1_500, 16, 360);
    assertThat(load.secondsPerRequest(nanos())).isGreaterThan(2 * before);
  }

  /** Guards against moves because of random variation of the request times of a steady target. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void estimateOfASteadyTargetIsStable(long seed) {
    Random random = new Random(seed);
    run(random, 5_000, 12, 100);
    for (int i = 0; i < 300; i++) {
      run(random, 100, 12, 100);
      assertThat(load.secondsPerRequest(nanos()))
          .isBetween(0.1 * (1 - MAX_RELATIVE_DEVIATION), 0.1 * (1 + MAX_RELATIVE_DEVIATION));
    }
  }

  /** Guards against counting the load of an entry that no longer reports. */
  @Test
  void loadOfUnresponsiveEntryExpires() {
    load.add(1, ENTRY, SLOTS, observation(5, 0));
    assertThat(load.inFlight(1)).isEqualTo(5);
    assertThat(load.inFlight(1 + TimeUnit.SECONDS.toNanos(3))).isZero();
  }
}
