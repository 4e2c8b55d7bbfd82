package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against forged stamps, which would make an old identity look new. */
class StampTest {
  private final Stamp stamp = new Stamp("key".getBytes(StandardCharsets.UTF_8));

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 4_711, 1_000_000_000_000L})
  void verifiesWhatItFormats(long index) {
    assertThat(stamp.verify(stamp.format(index))).hasValue(index);
    RequestIdentity identity =
        RequestIdentity.parse(stamp.format(index) + ":r4nd0m", stamp).orElseThrow();
    assertThat(identity.stamp()).hasValue(index);
  }

  @Test
  void refusesAnotherIndexAndAnotherKey() {
    String mac = stamp.format(7).substring(1);
    assertThat(stamp.verify("8" + mac)).isEmpty();
    assertThat(stamp.verify(new Stamp(new byte[] {1}).format(7))).isEmpty();
    assertThat(RequestIdentity.parse("8" + mac + ":x", stamp).orElseThrow().stamp())
        .isEqualTo(OptionalLong.empty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", ".", "7", "7.", "-7.AAAA", "7.*", "99999999999999999999.AAAA", "x.AA"})
  void refusesMalformedStamps(String text) {
    assertThat(stamp.verify(text)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"plain", ":x", "abc:", "a:b"})
  void treatsOtherTextAsUnstamped(String header) {
    assertThat(RequestIdentity.parse(header, stamp).orElseThrow().stamp()).isEmpty();
  }

  @Test
  void refusesBlankAndLongHeaders() {
    assertThat(RequestIdentity.parse(" ", stamp)).isEmpty();
    assertThat(RequestIdentity.parse("x".repeat(129), stamp)).isEmpty();
  }
}
