package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadStatisticsTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final int TARGETS = 20;
  private static final int ENTRIES = 10;

  private static FleetState state() {
    FleetState state = FleetState.empty();
    for (int i = 0; i < TARGETS; i++) {
      state =
          state.apply(
              1 + i,
              new FleetCommand.RegisterTarget(
                  new TargetRecord(
                      TargetId.of("t" + i),
                      1,
                      SERVICE,
                      new Address("10.0.0.1", 1_000 + i),
                      AvailabilityZone.of("z"),
                      2,
                      TargetPhase.READY)));
    }
    return state;
  }

  /**
   * Load: each of ten entries reports one urgent request of 100 ms and three others every 100 ms.
   * The urgent ones occupy ten slots. Guards against a reserve from the demand of one entry, and
   * against one for a service with requests of one priority only.
   */
  @ParameterizedTest
  @CsvSource({"0, 2, 15, 18", "1, 1, 0, 0"})
  void reserveFollowsTheDemandOfAllEntries(int first, int second, int min, int max) {
    LoadStatistics statistics = new LoadStatistics();
    long nowNanos = 0;
    for (int i = 0; i < 100; i++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
      List<LoadReport.KindDemand> demand =
          Arrays.asList(
              new LoadReport.KindDemand(SERVICE, first, 1, 1, 100),
              new LoadReport.KindDemand(SERVICE, second, 3, 3, 300));
      for (int entry = 0; entry < ENTRIES; entry++) {
        statistics.add(
            nowNanos,
            InstanceId.of("e" + entry),
            new LoadReport(Map.of(), List.of(), demand, Map.of()),
            state());
      }
    }
    List<ReservedSlots> reserved = statistics.reservedSlots(nowNanos, state());
    assertThat(reserved.stream().mapToInt(ReservedSlots::slots).sum()).isBetween(min, max);
  }
}
