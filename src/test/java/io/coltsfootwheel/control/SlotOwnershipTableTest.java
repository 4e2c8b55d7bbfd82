package io.coltsfootwheel.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against moves that are missed or counted twice because tables share blocks. */
class SlotOwnershipTableTest {
  private static final List<TargetId> TARGETS = List.of(TargetId.of("a"), TargetId.of("b"));

  @ParameterizedTest
  @CsvSource({"1, 1", "255, 40", "256, 40", "257, 40", "1024, 300", "1000, 3"})
  void countsTheSameMovesAsAComparisonOfEachSlot(int size, int changes) {
    Random random = new Random(size);
    SlotOwnershipTable before = SlotOwnershipTable.of(size);
    SlotOwnershipTable after = before;
    for (int round = 0; round < 20; round++) {
      List<Integer> slots = new ArrayList<>();
      for (int i = 0; i < changes; i++) {
        slots.add(random.nextInt(size));
      }
      after = before.withOwner(slots, TARGETS.get(random.nextInt(TARGETS.size())), round + 1);
      assertThat(after.movedSince(before)).isEqualTo(countBySlot(before, after));
      assertThat(after.movedSince(after)).isZero();
      before = after;
    }
  }

  private static int countBySlot(SlotOwnershipTable before, SlotOwnershipTable after) {
    return (int)
        IntStream.range(0, before.size())
            .filter(slot -> before.owner(slot).isPresent())
            .filter(slot -> !before.owner(slot).equals(after.owner(slot)))
            .count();
  }
}
