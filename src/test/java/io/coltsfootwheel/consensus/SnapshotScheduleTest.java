package io.coltsfootwheel.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SnapshotScheduleTest {
  /** Guards against a log of few large commands that grows until memory is used up. */
  @ParameterizedTest
  @CsvSource({"1, 10", "99, 10", "100, 10", "101, 10", "250, 4", "500, 2", "1000, 1", "5000, 1"})
  void isDueAfterANumberOfCommandsOrOfBytes(int commandBytes, int expectedCommands) {
    SnapshotSchedule schedule = new SnapshotSchedule(10, 1_000);
    for (int round = 0; round < 3; round++) {
      int commands = 1;
      while (!schedule.recordCommand(commandBytes)) {
        commands++;
      }
      assertThat(commands).isEqualTo(expectedCommands);
    }
  }

  /** Guards against a second snapshot right after an installed one. */
  @ParameterizedTest
  @CsvSource({"1", "900"})
  void countsFromTheInstalledSnapshot(int commandBytes) {
    SnapshotSchedule schedule = new SnapshotSchedule(2, 1_000);
    schedule.recordCommand(commandBytes);
    schedule.reset();
    assertThat(schedule.recordCommand(commandBytes)).isFalse();
  }
}
