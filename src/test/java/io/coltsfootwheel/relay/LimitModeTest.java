package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against limits that refuse requests although they are only observed, and the reverse. */
class LimitModeTest {
  @ParameterizedTest
  @CsvSource({"OBSERVE, 3, 10", "OBSERVE, 20, 10", "ENFORCE, 3, 3", "ENFORCE, 20, 20"})
  void limitOfTheLeaderCountsOnlyWhenEnforced(LimitMode mode, int published, int expected) {
    OwnershipView.Target spec =
        new OwnershipView.Target(
            TargetId.of("t"),
            ServiceName.of("s"),
            new Address("127.0.0.1", 1),
            AvailabilityZone.of("z"),
            2,
            TargetPhase.READY,
            1);
    TargetStats target = new TargetStats(spec, 0, mode);
    target.updateLoadEstimate(new TargetLoadEstimate(0, 120, published));
    assertThat(target.concurrencyLimit(0)).isEqualTo(expected);
    assertThat(target.determinedLimit(0)).isEqualTo(published);
    assertThat(target.isLimited(0)).isEqualTo(published < 10);
  }
}
