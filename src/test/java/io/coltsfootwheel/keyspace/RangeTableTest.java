package io.coltsfootwheel.keyspace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RangeTableTest {
  private static OwnedRange owned(int from, int to, String owner, long fence) {
    return new OwnedRange(new KeyRange(from, to), TargetId.of(owner), Fence.of(fence), "");
  }

  /** Guards against ranges whose bounds are out of order or outside the key space. */
  @ParameterizedTest
  @CsvSource({"-1, 3", "4, 3", "0, 65536"})
  void invalidRangeIsRejected(int from, int to) {
    assertThatThrownBy(() -> new KeyRange(from, to)).isInstanceOf(IllegalArgumentException.class);
  }

  /** Guards against wrong or several owners of a key after any sequence of assignments. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void eachKeyHasTheOwnerOfItsLastAssignment(long seed) {
    Random random = new Random(seed);
    String[] expected = new String[200];
    RangeTable table = RangeTable.empty();
    for (int i = 1; i <= 200; i++) {
      int from = random.nextInt(200);
      int to = Math.min(199, from + random.nextInt(40));
      String owner = "t" + random.nextInt(5);
      boolean cut = random.nextInt(4) == 0;
      table =
          cut ? table.withoutRange(new KeyRange(from, to)) : table.with(owned(from, to, owner, i));
      for (int key = from; key <= to; key++) {
        expected[key] = cut ? null : owner;
      }
      for (int key = 0; key < 200; key++) {
        int currentKey = key;
        String actual = table.find(currentKey).map(r -> r.owner().value()).orElse(null);
        assertThat(actual).isEqualTo(expected[key]);
        long holders = table.ranges().stream().filter(r -> r.range().contains(currentKey)).count();
        assertThat(holders).isLessThanOrEqualTo(1);
      }
    }
  }

  /** Guards against keys that are neither in a range nor in a gap. */
  @Test
  void gapsAndRangesCoverAllKeys() {
    RangeTable table = RangeTable.empty().with(owned(10, 19, "a", 1)).with(owned(30, 39, "b", 2));
    assertThat(table.gaps())
        .containsExactly(
            new KeyRange(0, 9), new KeyRange(20, 29), new KeyRange(40, KeyRange.MAX_KEY));
  }

  /** Guards against a handover token or fence that is lost in a snapshot. */
  @Test
  void encodingPreservesRanges() {
    RangeTable table = RangeTable.empty().with(owned(10, 19, "a", 7));
    RangeTable copy = ControlCodec.decode(ControlCodec.encode(table), RangeTable.class);
    assertThat(copy.ranges()).isEqualTo(table.ranges());
  }
}
