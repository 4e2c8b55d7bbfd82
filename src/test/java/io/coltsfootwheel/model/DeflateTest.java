package io.coltsfootwheel.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeflateTest {
  private static byte[] randomBytes(int size) {
    byte[] bytes = new byte[size];
    new Random(size).nextBytes(bytes);
    return bytes;
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 300, 100_000})
  void bytesAreRestored(int size) {
    byte[] incompressible = randomBytes(size);
    assertThat(Deflate.inflate(Deflate.deflate(incompressible), size)).isEqualTo(incompressible);
    byte[] repeated = new byte[size];
    assertThat(Deflate.inflate(Deflate.deflate(repeated), size)).isEqualTo(repeated);
  }

  /** Guards against a few bytes of a peer that occupy all memory. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 999_999})
  void moreThanTheLimitIsRejected(int maxBytes) {
    byte[] deflated = Deflate.deflate(new byte[1_000_000]);
    assertThatThrownBy(() -> Deflate.inflate(deflated, maxBytes))
        .isInstanceOf(ColtsfootwheelException.class);
  }

  /** Guards against a part of a message that is taken for all of it. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 50, 99})
  void cutBytesAreRejected(int keptPercent) {
    byte[] deflated = Deflate.deflate(randomBytes(1_000));
    byte[] cut = Arrays.copyOf(deflated, deflated.length * keptPercent / 100);
    assertThatThrownBy(() -> Deflate.inflate(cut, 1_000_000))
        .isInstanceOf(ColtsfootwheelException.class);
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 300, 5_000})
  void otherBytesAreRejected(int size) {
    assertThatThrownBy(() -> Deflate.inflate(randomBytes(size), 1_000_000))
        .isInstanceOf(ColtsfootwheelException.class);
  }
}
