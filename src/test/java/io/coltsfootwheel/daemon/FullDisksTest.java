package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.simulation.SimulationClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FullDisksTest {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long START_MILLIS = 3_000;
  private static final long CHANGE_INTERVAL_MILLIS = 200;

  /** Time after the last disk has room again in which the system must have recovered. */
  private static final long RECOVERY_MILLIS = 4_000;

  private static final long MEASURED_MILLIS = 2_000;

  private SimulatedSystem system;
  private Operators operators;

  private void changeListsPeriodically() {
    operators.submitConcurrentChanges();
    system.after(CHANGE_INTERVAL_MILLIS * MILLI, this::changeListsPeriodically);
  }

  private void run(long millis) {
    long endNanos = system.clock().now() + millis * MILLI;
    while (system.clock().now() < endNanos && system.checker().violation().isEmpty()) {
      system.clock().step();
    }
  }

  /**
   * Guards against a member that takes no part any more after its disk was full for a short time.
   * Disks that are full one after another, never two at once, then end the quorum for good.
   */
  @ParameterizedTest
  @CsvSource({"1, 500", "2, 1500", "3, 3000", "4, 3000", "5, 6000"})
  void changesAreAcceptedAfterEachDiskWasFull(long seed, long fullMillis) {
    system = new SimulatedSystem(seed);
    operators = new Operators(system);
    changeListsPeriodically();
    run(START_MILLIS);
    for (InstanceId member : system.members()) {
      system.instance(member).fillDisk();
      run(fullMillis);
      system.instance(member).freeDisk();
      run(RECOVERY_MILLIS);
    }
    long revisionBefore = system.checker().acknowledgedRevision();
    run(MEASURED_MILLIS);
    assertThat(system.checker().violation()).isEmpty();
    assertThat(system.checker().acknowledgedRevision()).isGreaterThan(revisionBefore);
    assertThat(system.instances()).allMatch(SimulatedInstance::isReady);
  }
}
