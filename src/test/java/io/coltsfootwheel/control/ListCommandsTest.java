package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.LEDGER;
import static io.coltsfootwheel.control.Fixtures.service;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Fixtures.CommandLog;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.ServiceName;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ListCommandsTest {
  static Command.ApplyLists lists(String changeId, long baseRevision, double ratePerSecond) {
    PlanName plan = PlanName.of("standard");
    return new Command.ApplyLists(
        changeId,
        baseRevision,
        Map.of(CustomerId.of("salon-1"), plan),
        Map.of(plan, new Allowance(ratePerSecond, 10, 4, Set.of(LEDGER))));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void returnsTheFirstResultForARepeatedChangeIdentity(boolean throughSnapshot) {
    CommandLog log = CommandLog.of(service(8));
    final CommandResult accepted = log.apply(lists("c-1", 0, 5));
    final CommandResult conflict = log.apply(lists("c-2", 0, 6));
    log.apply(lists("c-3", 2, 7));
    ControlState state =
        throughSnapshot ? ControlState.fromSnapshot(log.state().toSnapshot()) : log.state();
    assertThat(state.apply(10, lists("c-1", 0, 5)).result()).isEqualTo(accepted);
    assertThat(state.apply(10, lists("c-2", 0, 6)).result()).isEqualTo(conflict);
    assertThat(conflict).isInstanceOf(CommandResult.Conflict.class);
    assertThat(state.apply(10, lists("c-1", 0, 5)).state().lists().revision()).isEqualTo(4);
  }

  @Test
  void reportsTheDifferencesInAConflict() {
    CommandLog log = CommandLog.of(service(8), lists("c-1", 0, 5));
    CommandResult.Conflict conflict = (CommandResult.Conflict) log.apply(lists("c-2", 0, 6));
    assertThat(conflict.currentRevision()).isEqualTo(2);
    assertThat(conflict.differences()).singleElement().asString().startsWith("plan standard: ");
  }

  @Test
  void rejectsInvalidListsAsAWholeAndReportsAllErrors() {
    CommandLog log = CommandLog.of(service(8));
    Command.ApplyLists invalid =
        new Command.ApplyLists(
            "c-1",
            0,
            Map.of(CustomerId.of("salon-1"), PlanName.of("none")),
            Map.of(PlanName.of("p"), new Allowance(0, 0, 0, Set.of(ServiceName.of("unknown")))));
    CommandResult.Rejected rejected = (CommandResult.Rejected) log.apply(invalid);
    assertThat(rejected.detail().split("; ")).hasSize(5);
    assertThat(log.state().lists().revision()).isZero();
  }

  @Test
  void keepsTheLatestTenThousandResults() {
    ChangeResults changeResults = ChangeResults.empty();
    for (int i = 0; i <= ChangeResults.MAX_RESULTS; i++) {
      changeResults = changeResults.with("c-" + i, new CommandResult.Accepted(i));
    }
    assertThat(changeResults.results()).hasSize(ChangeResults.MAX_RESULTS);
    assertThat(changeResults.firstResult("c-0")).isEmpty();
    assertThat(changeResults.firstResult("c-1")).contains(new CommandResult.Accepted(1));
  }

  /** Guards against snapshots that grow with the texts of refused changes. */
  @Test
  void keepsResultsWithinTheirTexts() {
    ChangeResults changeResults = ChangeResults.empty();
    for (int i = 0; i < 1_000; i++) {
      String detail = "x".repeat(15_000);
      changeResults =
          changeResults.with("c-" + i, new CommandResult.Rejected(ErrorKind.INVALID_VALUE, detail));
    }
    assertThat(changeResults.results()).hasSizeBetween(270, 280).containsKey("c-999");
    CommandResult huge = new CommandResult.Rejected(ErrorKind.INVALID_VALUE, "x".repeat(5_000_000));
    assertThat(changeResults.with("huge", huge).results()).containsOnlyKeys("huge");
  }
}
