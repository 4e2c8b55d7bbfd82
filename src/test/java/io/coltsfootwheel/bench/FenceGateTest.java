package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stand-in that executes what a real target would refuse. */
class FenceGateTest {
  private static final long TTL_MILLIS = 400;

  private final AtomicLong nanos = new AtomicLong(1_000);
  private final FenceGate gate = new FenceGate(nanos::get);

  @ParameterizedTest
  @CsvSource({
    "7, 0, true",
    "7, 399, true",
    "7, 400, false",
    "6, 0, false",
    "8, 0, false",
  })
  void onlyTheHighestUnexpiredFenceIsExecuted(long fence, long ageMillis, boolean executed) {
    gate.grant(7, TTL_MILLIS);
    nanos.addAndGet(ageMillis * 1_000_000);
    assertThat(gate.begin(fence, true)).isEqualTo(executed);
    assertThat(gate.begin(fence, false)).isTrue();
  }

  @Test
  void outdatedGrantIsRefused() {
    gate.grant(7, TTL_MILLIS);
    assertThat(gate.grant(6, TTL_MILLIS)).isFalse();
    assertThat(gate.grant(7, TTL_MILLIS)).isTrue();
  }

  @Test
  void requestsUnderOlderFencesAreReported() {
    gate.grant(7, TTL_MILLIS);
    gate.begin(7, true);
    gate.grant(8, TTL_MILLIS);
    gate.begin(8, true);
    assertThat(gate.answer()).isEqualTo(new FenceGate.GrantAnswer(8, 2, 1, 0));
    gate.end(7);
    assertThat(gate.answer()).isEqualTo(new FenceGate.GrantAnswer(8, 1, 0, 0));
  }

  /** Guards against a grant that waited unread while the process was frozen. */
  @Test
  void grantReadAfterItsEndIsNotValid() {
    long readingMillis = gate.answer().clockMillis();
    nanos.addAndGet(2_000_000_000L);
    gate.grant(7, readingMillis + TTL_MILLIS);
    assertThat(gate.begin(7, true)).isFalse();
  }

  /** Guards against the clock of an earlier process that was ahead of this one. */
  @Test
  void grantFarAheadOfTheClockIsCapped() {
    gate.grant(7, 1_000_000);
    nanos.addAndGet(1_001_000_000L);
    assertThat(gate.begin(7, true)).isFalse();
  }
}
