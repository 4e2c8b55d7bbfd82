package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaderSessionTest {
  private static final int FEW_TARGETS = 60;
  private static final int MANY_TARGETS = 240;
  private static final int ENTRIES = 4;
  private static final int GROWN_TARGETS = 190;
  private static final int GROWN_ENTRIES = 62;

  /** Bandwidth of control messages that each instance may use. */
  private static final double MAX_CONTROL_BYTES_PER_SECOND = 4_096;

  private static final int LARGE_TARGETS = 306;
  private static final int LARGE_ENTRIES = 84;

  /** No more than the answers to the subscriptions of as many entries, ten a second each. */
  private static final int MAX_CHANGES_PER_SECOND = 10 * LARGE_ENTRIES;

  private static final int REQUESTS_PER_SECOND = 60;
  private static final int HIGH_REQUESTS_PER_SECOND = 2_400;
  private static final int HOT_KEYS = 200;
  private static final double HOT_SHARE = 0.4;
  private static final long MESSAGE_DELAY_MILLIS = 120;
  private static final long START_MILLIS = 5_000;
  private static final long MEASURED_MILLIS = 2_000;

  /**
   * Largest growth of the work for one report when the targets are four times as many. It is the
   * geometric mean of the growth of constant work, 1, and of work for each target, 4.
   */
  private static final double MAX_GROWTH = 2;

  /**
   * Load: reports of 240 targets. Guards against a leader that computes the load of all targets
   * anew for each report: the work then grows with the square of the number of targets, the leader
   * cannot keep up, and its answers, its moves and its quorum heartbeats are late.
   */
  @Test
  void workForOneReportDoesNotGrowWithTheTargets() {
    double few = allocatedBytesPerReport(FEW_TARGETS);
    double many = allocatedBytesPerReport(MANY_TARGETS);
    assertThat(many / few)
        .as(
            "%.0f bytes for a report of %d targets, %.0f of %d",
            many, MANY_TARGETS, few, FEW_TARGETS)
        .isLessThan(MAX_GROWTH);
  }

  /**
   * Load: 190 targets whose load hardly changes. Guards against load estimates of all targets in
   * each answer to an entry: the messages take bandwidth from the clients of the entry.
   */
  @Test
  void controlTrafficOfAnEntryStaysWithinItsLimit() {
    LeaderLoadSimulation simulation =
        new LeaderLoadSimulation(1, GROWN_TARGETS, GROWN_ENTRIES, REQUESTS_PER_SECOND);
    simulation.run(START_MILLIS);
    simulation.resetMeasurements();
    simulation.run(MEASURED_MILLIS);
    double bytesPerSecond =
        (double) simulation.bytesToEntries() / GROWN_ENTRIES * 1_000 / MEASURED_MILLIS;
    assertThat(bytesPerSecond).isLessThan(MAX_CONTROL_BYTES_PER_SECOND);
  }

  /**
   * Load: targets of a large fleet on links on which messages are under way for a while, with moves
   * of ranges. Guards against a whole view for each entry that has not received the last change
   * yet: the views then fill the links, and everything on them is late.
   */
  @Test
  void changesUnderWayAreNotAnsweredWithWholeViews() {
    LeaderLoadSimulation simulation =
        new LeaderLoadSimulation(
            1, GROWN_TARGETS, ENTRIES, HIGH_REQUESTS_PER_SECOND, MESSAGE_DELAY_MILLIS);
    measureHotKeys(simulation);
    assertThat(simulation.wholeViews()).isZero();
  }

  /**
   * Load: hot keys, so that many ranges move. Guards against a message to each entry for each step
   * of each move: the entries then spend their processor time on them.
   */
  @Test
  void changesOfTheViewAreSentAtMostOncePerTick() {
    LeaderLoadSimulation simulation =
        new LeaderLoadSimulation(1, GROWN_TARGETS, ENTRIES, HIGH_REQUESTS_PER_SECOND);
    measureHotKeys(simulation);
    assertThat(simulation.maxChangesPerTick()).isLessThanOrEqualTo(ENTRIES);
  }

  /**
   * Load: hot keys at 84 entries, so that ranges move all the time. Guards against a leader that
   * spends its processor time on messages about each move to each entry: its decisions wait, and
   * all that entries know is late.
   */
  @Test
  void changesToManyEntriesAreCollected() {
    LeaderLoadSimulation simulation =
        new LeaderLoadSimulation(1, LARGE_TARGETS, LARGE_ENTRIES, HIGH_REQUESTS_PER_SECOND);
    measureHotKeys(simulation);
    assertThat(simulation.changesToEntries() * 1_000 / MEASURED_MILLIS)
        .isPositive()
        .isLessThanOrEqualTo(MAX_CHANGES_PER_SECOND);
  }

  private static void measureHotKeys(LeaderLoadSimulation simulation) {
    simulation.run(START_MILLIS);
    simulation.setHotKeys(HOT_KEYS, HOT_SHARE);
    simulation.resetMeasurements();
    simulation.run(MEASURED_MILLIS);
  }

  private static double allocatedBytesPerReport(int targets) {
    LeaderLoadSimulation simulation =
        new LeaderLoadSimulation(1, targets, ENTRIES, REQUESTS_PER_SECOND);
    simulation.run(START_MILLIS);
    simulation.resetMeasurements();
    simulation.run(MEASURED_MILLIS);
    return simulation.allocatedBytesPerReport();
  }
}
