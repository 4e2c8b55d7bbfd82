package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stand-in target that executes requests which a real target would refuse. */
class FenceCheckerTest {
  private static final long TTL_MILLIS = 400;

  private final AtomicLong nanos = new AtomicLong(1_000);
  private final FenceChecker fenceChecker = new FenceChecker(nanos::get);

  @ParameterizedTest
  @CsvSource({
    "7, 0, true",
    "7, 399, true",
    "7, 400, false",
    "6, 0, false",
    "8, 0, false",
  })
  void onlyTheHighestUnexpiredFenceIsExecuted(long fence, long ageMillis, boolean executed) {
    fenceChecker.grant(7, TTL_MILLIS);
    nanos.addAndGet(ageMillis * 1_000_000);
    assertThat(fenceChecker.begin(fence, true)).isEqualTo(executed);
    assertThat(fenceChecker.begin(fence, false)).isTrue();
  }

  @Test
  void outdatedGrantIsRefused() {
    fenceChecker.grant(7, TTL_MILLIS);
    assertThat(fenceChecker.grant(6, TTL_MILLIS)).isFalse();
    assertThat(fenceChecker.grant(7, TTL_MILLIS)).isTrue();
  }

  @Test
  void executionsUnderOlderFencesAreReported() {
    fenceChecker.grant(7, TTL_MILLIS);
    fenceChecker.begin(7, true);
    fenceChecker.grant(8, TTL_MILLIS);
    fenceChecker.begin(8, true);
    assertThat(fenceChecker.response()).isEqualTo(new FenceChecker.GrantResponse(8, 2, 1, 0));
    fenceChecker.end(7);
    assertThat(fenceChecker.response()).isEqualTo(new FenceChecker.GrantResponse(8, 1, 0, 0));
  }

  /** Guards against accepting a grant that expired in a receive buffer during a process freeze. */
  @Test
  void grantReadAfterItsExpiryIsNotValid() {
    long clockMillis = fenceChecker.response().clockMillis();
    nanos.addAndGet(2_000_000_000L);
    fenceChecker.grant(7, clockMillis + TTL_MILLIS);
    assertThat(fenceChecker.begin(7, true)).isFalse();
  }

  /** Guards against a long validity computed from an earlier process whose clock was ahead. */
  @Test
  void validityFarAheadOfTheClockIsCapped() {
    fenceChecker.grant(7, 1_000_000);
    nanos.addAndGet(1_001_000_000L);
    assertThat(fenceChecker.begin(7, true)).isFalse();
  }
}
