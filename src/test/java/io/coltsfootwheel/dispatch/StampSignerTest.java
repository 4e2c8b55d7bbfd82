package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against accepting forged stamps, with which an old identity could pass as a new one. */
class StampSignerTest {
  private final StampSigner signer = new StampSigner("key".getBytes(StandardCharsets.UTF_8));

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 4_711, 1_000_000_000_000L})
  void verifiesStampsThatItFormatted(long index) {
    assertThat(signer.verify(signer.format(index))).hasValue(index);
    RequestIdentity identity =
        RequestIdentity.parse(signer.format(index) + ":r4nd0m", signer).orElseThrow();
    assertThat(identity.stamp()).hasValue(index);
  }

  @Test
  void refusesStampsOfAnotherIndexOrAnotherKey() {
    String mac = signer.format(7).substring(1);
    assertThat(signer.verify("8" + mac)).isEmpty();
    assertThat(signer.verify(new StampSigner(new byte[] {1}).format(7))).isEmpty();
    assertThat(RequestIdentity.parse("8" + mac + ":x", signer).orElseThrow().stamp())
        .isEqualTo(OptionalLong.empty());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", ".", "7", "7.", "-7.AAAA", "7.*", "99999999999999999999.AAAA", "x.AA"})
  void refusesMalformedStamps(String text) {
    assertThat(signer.verify(text)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"plain", ":x", "abc:", "a:b"})
  void treatsHeadersWithoutStampAsUnstamped(String header) {
    assertThat(RequestIdentity.parse(header, signer).orElseThrow().stamp()).isEmpty();
  }

  @Test
  void refusesBlankAndLongHeaders() {
    assertThat(RequestIdentity.parse(" ", signer)).isEmpty();
    assertThat(RequestIdentity.parse("x".repeat(129), signer)).isEmpty();
  }
}
