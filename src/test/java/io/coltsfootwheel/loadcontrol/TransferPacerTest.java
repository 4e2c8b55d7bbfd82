package io.coltsfootwheel.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TransferPacerTest {
  private static final long LINK_BYTES_PER_SECOND = 312_500;

  /** Time after which a connection to a target is given up. */
  private static final double CONNECT_TIMEOUT_MILLIS = 400;

  private static final int SECONDS = 60;

  private final TransferPacer pacer = TransferPacer.ofLink(LINK_BYTES_PER_SECOND);

  /**
   * Returns the longest time for which a message waits behind bodies on the link, which takes all
   * packets in their order.
   */
  private static double longestWaitMillis(TransferPacer pacer, long seed) {
    Random random = new Random(seed);
    double linkFreeNanos = 0;
    double nextPartNanos = 0;
    double longestNanos = 0;
    for (long nowNanos = 0;
        nowNanos < TimeUnit.SECONDS.toNanos(SECONDS);
        nowNanos += TimeUnit.MILLISECONDS.toNanos(1)) {
      if (random.nextDouble() < 0.003) {
        pacer.add((long) (60_000 * Math.exp(0.6 * random.nextGaussian() - 0.18)));
      }
      while (pacer.waitingBytes() > 0 && nextPartNanos <= nowNanos) {
        int bytes = (int) Math.min(pacer.partBytes(), pacer.waitingBytes());
        pacer.remove(bytes);
        nextPartNanos = nowNanos + pacer.nanosUntilNextPart(bytes);
        double transferNanos = bytes * 1e9 / LINK_BYTES_PER_SECOND;
        linkFreeNanos = Math.max(linkFreeNanos, nowNanos) + transferNanos;
      }
      longestNanos = Math.max(longestNanos, linkFreeNanos - nowNanos);
    }
    return longestNanos / TimeUnit.MILLISECONDS.toNanos(1);
  }

  /**
   * Load: three uploads of 60 kB each second at an entry with a link of 2.5 Mbit/s. Guards against
   * connections and messages that exceed their time-outs behind them.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void messagesHardlyWaitBehindPacedBodies(long seed) {
    assertThat(longestWaitMillis(pacer, seed)).isLessThan(CONNECT_TIMEOUT_MILLIS / 10);
  }

  /** Guards against a test whose load bodies that are sent at once would bear as well. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void messagesWaitTooLongBehindBodiesThatAreSentAtOnce(long seed) {
    assertThat(longestWaitMillis(TransferPacer.unlimited(), seed))
        .isGreaterThan(CONNECT_TIMEOUT_MILLIS);
  }

  /** Guards against pacing of bodies that are no burden, and against a wait that is not stated. */
  @ParameterizedTest
  @CsvSource({"0, 1000, false, 0", "0, 50000, true, 200", "100000, 50000, true, 600"})
  void largeBodiesWaitForTheOnesBefore(long before, long bytes, boolean paced, long millis) {
    pacer.add(before);
    assertThat(pacer.isPaced(bytes)).isEqualTo(paced);
    assertThat(pacer.millisToSend(bytes)).isEqualTo(millis);
  }

  /** Guards against pacing on a link that is fast or whose rate is not known. */
  @ParameterizedTest
  @ValueSource(longs = {0, 125_000_000})
  void bodiesOnFastOrUnknownLinksAreSentAtOnce(long bytesPerSecond) {
    TransferPacer fast =
        bytesPerSecond == 0 ? TransferPacer.unlimited() : TransferPacer.ofLink(bytesPerSecond);
    assertThat(fast.isPaced(360_000)).isFalse();
    assertThat(fast.millisToSend(360_000)).isZero();
  }
}
