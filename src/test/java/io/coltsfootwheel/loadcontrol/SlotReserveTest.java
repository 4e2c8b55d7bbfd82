package io.coltsfootwheel.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotReserveTest {
  private static final int TARGETS = 8;

  /**
   * Guards against a reserve that starves less urgent requests (more than half of the slots), that
   * is larger than their own demand, or that exists without more urgent requests.
   */
  @ParameterizedTest
  @CsvSource({"0, 100, 230, 0", "9, 100, 230, 15", "200, 300, 230, 115", "200, 20, 462, 20"})
  void reserveIsDemandWithAMarginWithinBounds(
      double urgentSlots, double otherSlots, int totalSlots, int expected) {
    SortedMap<Integer, Double> demand = new TreeMap<>();
    demand.put(2, otherSlots);
    if (urgentSlots > 0) {
      demand.put(0, urgentSlots);
    }
    SortedMap<Integer, Integer> reserved = SlotReserve.reservedAgainst(demand, totalSlots);
    assertThat(reserved.getOrDefault(2, 0)).isEqualTo(expected);
    assertThat(reserved).doesNotContainKey(0);
  }

  /** Guards against a reserve for the second kind that leaves out the most urgent one. */
  @Test
  void reserveAgainstTheThirdPriorityCoversTheFirstTwo() {
    SortedMap<Integer, Double> demand = new TreeMap<>(Map.of(0, 4.0, 1, 12.0, 2, 90.0));
    assertThat(SlotReserve.reservedAgainst(demand, 200)).isEqualTo(Map.of(1, 8, 2, 24));
  }

  /**
   * Targets 0 to 7 have 2 slots each and are the slower the higher their number. Guards against
   * targets that are withheld although capacity is free, against slow targets in the reserve, and
   * against parts of a target.
   */
  @ParameterizedTest
  @CsvSource({"1, 4, 8", "2, 4, 6", "2, 5, 6", "2, 1, 8", "2, 0, 8"})
  void fastestTargetsAreWithheldWhileCapacityIsShort(
      int inFlightOfEach, int reservedSlots, int expectedOpen) {
    List<SlotReserve.SlotUse<Integer>> uses = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      uses.add(new SlotReserve.SlotUse<>(i, 2, inFlightOfEach, 100 + i, true));
    }
    List<Integer> open = SlotReserve.openTargets(uses, reservedSlots);
    assertThat(open).hasSize(expectedOpen).contains(TARGETS - 1);
  }

  /** Guards against a less urgent request that is sent to a suspect target only. */
  @Test
  void allTargetsAreOpenWhenNoOtherIsUsable() {
    List<SlotReserve.SlotUse<Integer>> uses =
        List.of(
            new SlotReserve.SlotUse<>(0, 2, 2, 100, true),
            new SlotReserve.SlotUse<>(1, 2, 0, 200, false));
    assertThat(SlotReserve.openTargets(uses, 2)).containsExactly(0, 1);
  }

  /** Guards against a demand that is wrong at first, or that remains when its requests end. */
  @Test
  void demandFollowsRequests() {
    DemandStatistics demand = new DemandStatistics();
    long nowNanos = 0;
    for (int i = 1; i <= 50; i++) {
      nowNanos = TimeUnit.MILLISECONDS.toNanos(100L * i);
      demand.add(nowNanos, 0, 10, 10, 1_000);
      if (i >= 10) {
        assertThat(demand.slotsByPriority(nowNanos).get(0)).isBetween(9.0, 11.5);
      }
    }
    assertThat(demand.slotsByPriority(nowNanos + TimeUnit.MINUTES.toNanos(1))).isEmpty();
  }
}
