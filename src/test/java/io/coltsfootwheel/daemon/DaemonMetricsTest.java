package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.link.LinkChannel;
import io.coltsfootwheel.link.LinkListener;
import io.coltsfootwheel.link.LinkSettings;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against traffic that is missing from the metrics or counted in the wrong direction. */
class DaemonMetricsTest {
  private static final int PAYLOAD_BYTES = 100;

  /** The payload follows a length field of four bytes and a kind byte. */
  private static final int FRAME_BYTES = PAYLOAD_BYTES + 5;

  private static final int FRAMES = 3;

  @Test
  void frameIsCountedOnceAtEachEnd() throws InterruptedException {
    CountDownLatch received = new CountDownLatch(FRAMES);
    SimpleMeterRegistry sender = new SimpleMeterRegistry();
    SimpleMeterRegistry receiver = new SimpleMeterRegistry();
    try (LinkTransport one = link("one");
        LinkTransport two = link("two")) {
      one.start(listener(new CountDownLatch(0)));
      Address address = two.start(listener(received));
      new DaemonMetrics(sender).bind(one);
      new DaemonMetrics(receiver).bind(two);
      one.replacePeers(Map.of(InstanceId.of("two"), address));
      for (int i = 0; i < FRAMES; i++) {
        one.send(InstanceId.of("two"), new Frame(FrameKind.FORWARD, new byte[PAYLOAD_BYTES]));
      }
      assertThat(received.await(10, TimeUnit.SECONDS)).isTrue();
      assertThat(count(sender, "frames", "forward", "sent")).isEqualTo(FRAMES);
      assertThat(count(sender, "bytes", "forward", "sent")).isEqualTo(FRAMES * FRAME_BYTES);
      assertThat(count(sender, "bytes", "forward", "received")).isZero();
      assertThat(count(receiver, "frames", "forward", "received")).isEqualTo(FRAMES);
      assertThat(count(receiver, "bytes", "forward", "received")).isEqualTo(FRAMES * FRAME_BYTES);
    }
  }

  private static double count(SimpleMeterRegistry meters, String what, String kind, String way) {
    return meters
        .get("coltsfootwheel.link." + what)
        .tags("kind", kind, "direction", way)
        .functionCounter()
        .count();
  }

  private static LinkTransport link(String id) {
    return LinkTransport.of(
        LinkSettings.of("c", InstanceId.of(id), "s-" + id, "127.0.0.1", 0, "key".getBytes()));
  }

  private static LinkListener listener(CountDownLatch received) {
    return new LinkListener() {
      @Override
      public void received(InstanceId from, String session, Frame frame) {
        received.countDown();
      }

      @Override
      public void disconnected(InstanceId peer, LinkChannel channel) {}
    };
  }
}
