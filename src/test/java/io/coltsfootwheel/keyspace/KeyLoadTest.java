package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KeyLoadTest {
  private static final int ROUNDS = 400;
  private static final int KEYS_PER_ROUND = 20;
  private static final int MAX_PAUSE_MILLIS = 400;
  private static final int LONG_PAUSE_MILLIS = 120_000;
  private static final int EVICTION_ROUNDS = 7;
  private static final double MAX_ERROR_PER_SECOND = 1e-6;

  private final KeyLoad load = new KeyLoad();
  private long nowNanos = 1;

  /**
   * Guards against sums of ranges that differ from the sums of their keys, also after evictions and
   * after minutes without requests.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void loadOfRangeIsTheSumOfItsKeys(long seed) {
    Random random = new Random(seed);
    for (int round = 0; round < ROUNDS; round++) {
      boolean isLongPause = random.nextInt(ROUNDS) < 4;
      pause(isLongPause ? LONG_PAUSE_MILLIS : random.nextInt(MAX_PAUSE_MILLIS));
      load.add(nowNanos, randomRequests(random));
      if (round % EVICTION_ROUNDS == 0) {
        load.evictIdle(nowNanos);
      }
      pause(random.nextInt(MAX_PAUSE_MILLIS));
      int from = random.nextInt(KeyRange.ALL.width());
      int to = from + random.nextInt(KeyRange.ALL.width() - from);
      assertSumOfKeys(new KeyRange(from, to));
      assertSumOfKeys(KeyRange.ALL);
    }
  }

  private void assertSumOfKeys(KeyRange range) {
    double sumOfKeys =
        load.loadByKey(range).values().stream()
            .mapToDouble(k -> load.requestsPerSecond(nowNanos, k))
            .sum();
    assertThat(load.requestsPerSecond(nowNanos, range))
        .isCloseTo(sumOfKeys, within(MAX_ERROR_PER_SECOND));
  }

  private void pause(int millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static Map<Integer, Integer> randomRequests(Random random) {
    Map<Integer, Integer> requestsByKey = new HashMap<>();
    for (int i = 0; i < KEYS_PER_ROUND; i++) {
      requestsByKey.merge(
          random.nextInt(KeyRange.ALL.width()), 1 + random.nextInt(9), Integer::sum);
    }
    return requestsByKey;
  }
}
