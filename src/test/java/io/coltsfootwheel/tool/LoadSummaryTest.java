package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a summary that hides lost requests or times without responses. */
class LoadSummaryTest {
  @Test
  void eachRequestIsCountedOnce() {
    LoadSummary summary =
        LoadSummary.of(
            List.of(
                record(0, "a", 0, 5, LoadResult.ANSWERED, "t1"),
                record(1, "a", 10, 1_510, LoadResult.LATE, "t1"),
                record(2, "a", 20, 25, LoadResult.LOST_NOT_RUN, ""),
                record(3, "a", 30, 35, LoadResult.LOST_UNKNOWN, ""),
                record(4, "a", 40, 45, LoadResult.LOST_RUN, ""),
                record(5, "a", 50, 55, LoadResult.ANSWERED, "t2"),
                record(6, "a", 60, 65, LoadResult.ANSWERED, "t1")));
    assertThat(summary.sent()).isEqualTo(7);
    assertThat(summary.answered() + summary.late() + summary.lost()).isEqualTo(7);
    assertThat(summary.lost())
        .isEqualTo(summary.notRun() + summary.run() + summary.unknown())
        .isEqualTo(3);
    assertThat(summary.maxMicros()).isBetween(1_499_000L, 1_502_000L);
    assertThat(summary.targets()).containsEntry("ledger", 2);
    assertThat(summary.imbalance()).containsEntry("ledger", 1.5);
    assertThat(summary.text()).contains("sent 7: answered 3, late 1, lost 3");
  }

  @Test
  void unavailabilityLastsFromFirstMissToNextResponseOfSameKey() {
    assertThat(
            LoadSummary.longestUnavailableMicros(
                List.of(
                    record(0, "a", 0, 5, LoadResult.ANSWERED, "t"),
                    record(1, "a", 100, 110, LoadResult.LOST_NOT_RUN, ""),
                    record(2, "b", 150, 155, LoadResult.ANSWERED, "t"),
                    record(3, "a", 200, 210, LoadResult.LOST_UNKNOWN, ""),
                    record(4, "a", 300, 305, LoadResult.ANSWERED, "t"))))
        .isEqualTo(205_000);
  }

  @Test
  void unavailabilityWithoutResponseLastsUntilTheRunEnds() {
    assertThat(
            LoadSummary.longestUnavailableMicros(
                List.of(
                    record(0, "a", 100, 110, LoadResult.LOST_NOT_RUN, ""),
                    record(1, "b", 900, 910, LoadResult.ANSWERED, "t"))))
        .isEqualTo(810_000);
  }

  @Test
  void latencyOfLateResponseIsUnavailability() {
    assertThat(
            LoadSummary.longestUnavailableMicros(
                List.of(record(0, "a", 0, 1_300, LoadResult.LATE, "t"))))
        .isEqualTo(1_300_000);
  }

  static RequestRecord record(
      int number, String key, long dueMillis, long endMillis, LoadResult result, String target) {
    int status = result.isFromTarget() ? 200 : 503;
    return new RequestRecord(
        number,
        "r-" + number,
        "ledger",
        key,
        "",
        dueMillis * 1_000,
        endMillis * 1_000,
        result,
        status,
        "",
        target,
        1);
  }
}
