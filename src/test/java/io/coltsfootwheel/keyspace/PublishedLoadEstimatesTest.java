package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PublishedLoadEstimatesTest {
  private static final TargetId TARGET = TargetId.of("t");
  private static final int TARGETS = 30;
  private static final int ROUNDS = 500;
  private static final int ROUND_MILLIS = 20;
  private static final int MAX_DIFFERENCE_IN_FLIGHT = 1;
  private static final int MAX_IN_FLIGHT = 8;

  private final PublishedLoadEstimates published = new PublishedLoadEstimates();
  private long nowNanos = 1;

  private void update(int inFlight, int millisPerRequest) {
    published.update(nowNanos, Map.of(TARGET, new TargetLoadEstimate(inFlight, millisPerRequest)));
  }

  private void pause(int millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against a target that becomes busy or slow without the entries being told. */
  @ParameterizedTest
  @CsvSource({"0, 120, 2, 120", "9, 120, 7, 120", "3, 120, 3, 150", "3, 600, 3, 120"})
  void largeChangeIsPublishedAtOnce(
      int inFlightBefore, int millisBefore, int inFlightAfter, int millisAfter) {
    update(inFlightBefore, millisBefore);
    long received = published.sequence();
    pause(ROUND_MILLIS);
    update(inFlightAfter, millisAfter);
    assertThat(published.changedSince(received))
        .isEqualTo(Map.of(TARGET, new TargetLoadEstimate(inFlightAfter, millisAfter)));
  }

  /** Guards against a limit that falls without the entries being told at once. */
  @Test
  void lowerLimitIsPublishedAtOnce() {
    published.update(nowNanos, Map.of(TARGET, new TargetLoadEstimate(3, 120, 10)));
    long received = published.sequence();
    pause(ROUND_MILLIS);
    published.update(nowNanos, Map.of(TARGET, new TargetLoadEstimate(3, 120, 8)));
    assertThat(published.changedSince(received)).containsKey(TARGET);
  }

  /** Guards against the estimates of all idle targets in each message, which drift for seconds. */
  @Test
  void driftOfTheTimePerRequestIsNotPublished() {
    update(0, 120);
    long received = published.sequence();
    pause(2_000);
    update(0, 130);
    assertThat(published.changedSince(received)).isEmpty();
    update(0, 131);
    assertThat(published.changedSince(received)).containsKey(TARGET);
  }

  /** Guards against small changes that are sent all the time, and against ones never sent. */
  @Test
  void smallChangeIsPublishedAfterAWhile() {
    update(3, 120);
    long received = published.sequence();
    pause(ROUND_MILLIS);
    update(4, 125);
    assertThat(published.changedSince(received)).isEmpty();
    pause(1_000);
    update(4, 125);
    assertThat(published.changedSince(received)).containsKey(TARGET);
    pause(1_000);
    update(4, 125);
    assertThat(published.changedSince(published.sequence())).isEmpty();
  }

  /**
   * Guards against an entry that misses a change for good because a message was lost, and against
   * estimates of removed targets.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void receiverFollowsAlthoughMessagesAreLost(long seed) {
    Random random = new Random(seed);
    Map<TargetId, TargetLoadEstimate> current = new HashMap<>();
    Map<TargetId, TargetLoadEstimate> received = new HashMap<>();
    long receivedSequence = 0;
    for (int round = 0; round < ROUNDS; round++) {
      pause(ROUND_MILLIS);
      TargetId changed = TargetId.of("t" + random.nextInt(TARGETS));
      if (random.nextInt(10) == 0) {
        current.remove(changed);
      } else {
        current.put(changed, new TargetLoadEstimate(random.nextInt(MAX_IN_FLIGHT), 120));
      }
      published.update(nowNanos, current);
      if (random.nextInt(3) == 0) {
        received.putAll(published.changedSince(receivedSequence));
        receivedSequence = published.sequence();
        assertThat(received).containsKeys(current.keySet().toArray(TargetId[]::new));
        current.forEach(
            (target, estimate) ->
                assertThat(Math.abs(received.get(target).inFlight() - estimate.inFlight()))
                    .isLessThanOrEqualTo(MAX_DIFFERENCE_IN_FLIGHT));
      }
    }
    assertThat(published.changedSince(0).keySet()).isEqualTo(current.keySet());
  }
}
