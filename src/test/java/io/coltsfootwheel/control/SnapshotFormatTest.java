package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.LEDGER;
import static io.coltsfootwheel.control.Fixtures.assign;
import static io.coltsfootwheel.control.Fixtures.cluster;
import static io.coltsfootwheel.control.Fixtures.target;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.control.Fixtures.CommandLog;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetStatus;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SnapshotFormatTest {
  @ParameterizedTest
  @ValueSource(ints = {1, 256, 1000})
  void restoresTheWholeState(int hashSlots) {
    CommandLog log = cluster(2, 4, hashSlots);
    log.apply(assign(0, 0));
    log.apply(new Command.BeginHandover(LEDGER, List.of(0), target(0), target(1), true, "load"));
    long beginIndex = log.index();
    log.apply(new Command.CompleteHandover(LEDGER, List.of(0), target(0), target(1), beginIndex));
    log.apply(new Command.BeginHandover(LEDGER, List.of(0), target(1), target(2), false, "drain"));
    log.apply(log.status(3, TargetStatus.DRAINING));
    log.apply(ListCommandsTest.lists("c-1", 0, 5));
    ControlState restored = ControlState.fromSnapshot(log.state().toSnapshot());
    assertThat(restored.content()).usingRecursiveComparison().isEqualTo(log.state().content());
  }

  @ParameterizedTest
  @CsvSource({"2, UNSUPPORTED_VERSION", "0, UNSUPPORTED_VERSION"})
  void rejectsOtherFormatVersions(int version, ErrorKind kind) {
    byte[] bytes = ControlState.empty().toSnapshot();
    ByteBuffer.wrap(bytes).putInt(4, version);
    assertThatThrownBy(() -> ControlState.fromSnapshot(bytes))
        .hasMessageContaining("version " + version)
        .isInstanceOfSatisfying(
            ColtsfootwheelException.class,
            exception -> assertThat(exception.kind()).isEqualTo(kind));
  }

  @Test
  void rejectsBytesThatAreNotASnapshot() {
    assertThatThrownBy(() -> ControlState.fromSnapshot(new byte[3]))
        .hasMessageContaining("not a snapshot");
  }
}
