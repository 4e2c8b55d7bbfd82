package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a change of the hash function, which would move keys to other hash slots. */
class HashSlotsTest {
  @ParameterizedTest
  @CsvSource({"a, 0xd24ec4f1a98c6e5b", "abc, 0x44bc2cf5ad770999"})
  void matchesPublishedXx64Values(String key, String hash) {
    int expected =
        (int) Long.remainderUnsigned(Long.parseUnsignedLong(hash.substring(2), 16), 1024);
    assertThat(HashSlots.of(key.getBytes(StandardCharsets.UTF_8), 1024)).isEqualTo(expected);
  }

  @Test
  void spreadsKeysEvenly() {
    int[] counts = new int[64];
    for (int i = 0; i < 64_000; i++) {
      counts[HashSlots.of(("card-" + i).getBytes(StandardCharsets.UTF_8), 64)]++;
    }
    assertThat(Arrays.stream(counts)).allMatch(n -> n > 800 && n < 1_200);
  }
}
