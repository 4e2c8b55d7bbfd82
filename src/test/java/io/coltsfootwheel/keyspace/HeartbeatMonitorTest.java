package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.GrantMethod;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HeartbeatMonitorTest {
  private static final TargetRecord TARGET =
      new TargetRecord(
          TargetId.of("a"),
          1,
          ServiceName.of("ledger"),
          new Address("10.0.0.1", 80),
          AvailabilityZone.of("z"),
          2,
          TargetPhase.READY);

  /**
   * Guards against a leader without memory: it kept the reports of each target that was ever
   * registered in its term.
   */
  @ParameterizedTest
  @CsvSource({"false,59,true", "false,61,false", "true,3600,true"})
  void recordsOfRemovedTargetsAreForgotten(boolean isRegistered, long seconds, boolean isKept) {
    HeartbeatMonitor monitor =
        new HeartbeatMonitor(OwnershipSettings.of(870, 10_000), 0, s -> GrantMethod.HEARTBEAT);
    FleetState empty = FleetState.empty();
    FleetState state =
        isRegistered ? empty.apply(1, new FleetCommand.RegisterTarget(TARGET)) : empty;
    monitor.getOrCreate(0, TARGET, empty);
    monitor.evictRemoved(TimeUnit.SECONDS.toNanos(seconds), state);
    assertThat(monitor.find(TARGET.id()).isPresent()).isEqualTo(isKept);
  }
}
