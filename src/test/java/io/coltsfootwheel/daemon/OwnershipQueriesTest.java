package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import org.junit.jupiter.api.Test;

class OwnershipQueriesTest {
  private static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final TargetSpec TARGET =
      new TargetSpec(
          TargetId.of("t1"),
          LEDGER,
          Address.parse("127.0.0.1:1"),
          AvailabilityZone.of("a"),
          2,
          120,
          true,
          false,
          "x");

  /** Guards against an empty answer for an unknown name, and against lines in reverse order. */
  @Test
  void explanationIsOldestFirstAndRefusesUnknownNames() {
    ControlState state =
        ControlState.empty()
            .apply(
                1, new Command.RegisterService(new ServiceSpec(LEDGER, false, 0, MovePolicy.CHURN)))
            .state()
            .apply(2, new Command.AnnounceTarget(TARGET))
            .state();
    Command drain =
        TargetChanges.statusChange(state, TARGET.id(), TargetStatus.DRAINING, "by hand");
    OwnershipQueries queries = new OwnershipQueries(state.apply(3, drain).state());
    assertThat(queries.explainSubject("t1").lines())
        .extracting(line -> line.index())
        .containsExactly(2L, 3L);
    assertThat(queries.explainAll().lines()).hasSize(2);
    assertThatThrownBy(() -> queries.explainSubject("t9")).hasMessageContaining("not-found");
  }
}
