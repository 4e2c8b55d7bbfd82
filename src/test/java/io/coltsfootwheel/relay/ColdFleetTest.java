package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the permits of a whole fleet for one cold target, without a network. */
class ColdFleetTest {
  private static final int ENTRIES = 90;

  /** Largest number of requests in one second: 3.7 x 1.5 + 8. */
  private static final int MAX_PER_SECOND = 13;

  /** Repeated disturbance of the fleet. */
  private enum Disturbance {
    NONE {
      @Override
      void cause(ColdFleetSimulation fleet) {}
    },
    BURST_OF_DEMAND {
      @Override
      void cause(ColdFleetSimulation fleet) {
        List.copyOf(fleet.entries).forEach(e -> e.request(1_200));
        List.copyOf(fleet.entries).forEach(e -> e.request(6_000));
      }
    },
    ENTRIES_JOIN {
      @Override
      void cause(ColdFleetSimulation fleet) {
        fleet.addEntries(10);
      }
    },
    ENTRIES_DIE {
      @Override
      void cause(ColdFleetSimulation fleet) {
        for (int i = 0; i < 5; i++) {
          ColdFleetSimulation.Entry dead = fleet.anyEntry();
          dead.isDead = true;
          fleet.entries.remove(dead);
        }
      }
    },
    ENTRIES_ARE_CUT_OFF {
      @Override
      void cause(ColdFleetSimulation fleet) {
        for (int i = 0; i < 20; i++) {
          fleet.anyEntry().isCutOff ^= true;
        }
      }
    },
    LEADER_CHANGES {
      @Override
      void cause(ColdFleetSimulation fleet) {
        fleet.electLeader();
      }
    };

    abstract void cause(ColdFleetSimulation fleet);
  }

  /**
   * Load pattern: 60 requests per second for keys whose owner sustains 3.7. Guards against a cold
   * target that receives more than its bound in any second, and against permits that reach no
   * request (without disturbance at least 3 per second must).
   */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void coldTargetNeverReceivesMoreThanItsBound(Disturbance disturbance) {
    for (long seed = 1; seed <= 3; seed++) {
      ColdFleetSimulation fleet = new ColdFleetSimulation(seed, true, 0);
      fleet.addEntries(ENTRIES);
      for (int i = 0; i < 12; i++) {
        fleet.run(700, 60, 1_200);
        disturbance.cause(fleet);
      }
      assertThat(fleet.maxArrivalsInOneSecond()).as("seed %d", seed).isBetween(3, MAX_PER_SECOND);
      if (disturbance == Disturbance.NONE) {
        assertThat(fleet.arrivals()).isGreaterThan(3 * 12 * 700 / 1_000);
      }
    }
  }

  /** Guards against an entry that goes on sending to a cold target without replies of a leader. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void entriesWithoutRepliesSendNothing(long seed) {
    ColdFleetSimulation fleet = new ColdFleetSimulation(seed, true, 0);
    fleet.addEntries(ENTRIES);
    fleet.run(3_000, 60, 1_200);
    fleet.entries.forEach(e -> e.isCutOff = true);
    fleet.run(1_000, 60, 1_200);
    int before = fleet.arrivals();
    fleet.run(3_000, 60, 1_200);
    assertThat(fleet.arrivals()).isEqualTo(before);
  }

  /** Guards against requests refused although the target sustains their rate. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void requestsAtASustainedRateAreServed(long seed) {
    ColdFleetSimulation fleet = new ColdFleetSimulation(seed, true, 0);
    fleet.addEntries(ENTRIES);
    fleet.run(1_000, 0, 1_200);
    fleet.run(20_000, 2, 1_200);
    assertThat(fleet.refused).isLessThanOrEqualTo((fleet.answered + fleet.refused) / 10);
  }

  /**
   * Load pattern: a new target among 39 or 114 warm ones. Guards against a new target that receives
   * nothing while the others of its service do (in one of ten cases the first request may come
   * later than after a second, since permits expire at entries without requests), and against one
   * that receives too much.
   */
  @ParameterizedTest
  @CsvSource({"39, 242", "114, 443"})
  void newUnkeyedTargetReceivesWorkWithinASecond(int warmTargets, double requestsPerSecond) {
    int startedLate = 0;
    for (long seed = 1; seed <= 20; seed++) {
      ColdFleetSimulation fleet = new ColdFleetSimulation(seed, false, warmTargets);
      fleet.addEntries(ENTRIES);
      fleet.run(1_000, requestsPerSecond, 2_000);
      startedLate += fleet.arrivals() == 0 ? 1 : 0;
      fleet.run(3_000, requestsPerSecond, 2_000);
      assertThat(fleet.arrivals()).as("seed %d", seed).isPositive();
      assertThat(fleet.maxArrivalsInOneSecond()).isLessThanOrEqualTo(MAX_PER_SECOND);
    }
    assertThat(startedLate).isLessThanOrEqualTo(2);
  }
}
