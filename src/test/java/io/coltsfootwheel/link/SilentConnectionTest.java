package io.coltsfootwheel.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Transports of two instances whose connections to each other go silent without a reset. */
@Timeout(30)
class SilentConnectionTest {
  private static final InstanceId A = InstanceId.of("a");
  private static final InstanceId B = InstanceId.of("b");
  private static final long SEND_INTERVAL_MILLIS = 20;
  private static final int LARGE_FRAME_BYTES = 4 * 1024 * 1024;
  private static final int LARGE_FRAME_SECONDS = 4;
  private static final long LATE_MILLIS = 500;
  private static final int LATE_FRAMES = 150;

  private final Side a = new Side(A);
  private final Side b = new Side(B);
  private final List<AutoCloseable> proxies = new ArrayList<>();
  private SilentProxy proxyToB;

  @BeforeEach
  void connect() throws Exception {
    proxyToB = proxyTo(b);
    a.transport.replacePeers(Map.of(B, proxyToB.address()));
    b.transport.replacePeers(Map.of(A, proxyTo(a).address()));
  }

  @AfterEach
  void close() throws Exception {
    a.transport.close();
    b.transport.close();
    for (AutoCloseable proxy : proxies) {
      proxy.close();
    }
  }

  /**
   * Guards against a silent connection that is never opened again, above all while frames of the
   * peer arrive on the peer's own connection.
   */
  @ParameterizedTest
  @CsvSource({"RENEW,false", "RENEW,true", "FORWARD,false", "FORWARD,true"})
  void silentConnectionIsOpenedAgain(FrameKind kind, boolean peerSends) throws Exception {
    sendUntilReceived(kind, peerSends, (byte) 1);
    proxyToB.silence();
    sendUntilReceived(kind, peerSends, (byte) 2);
    assertThat(a.silentChannels).contains(kind.channel());
    assertThat(b.silentChannels).isEmpty();
  }

  /**
   * Guards against an accepting side that keeps a silent connection: it leaks its descriptor, and
   * responses wait on it until they time out.
   */
  @ParameterizedTest
  @ValueSource(strings = {"RENEW", "FORWARD"})
  void acceptingSideEndsTheSupersededConnection(FrameKind kind) throws Exception {
    sendUntilReceived(kind, false, (byte) 1);
    proxyToB.silence();
    sendUntilReceived(kind, false, (byte) 2);
    assertThat(b.endedChannels).contains(kind.channel());
  }

  /** Guards against requests with an unknown outcome after a pause of the peer. */
  @Test
  void dataConnectionOutlivesAPauseOfThePeer() throws Exception {
    sendUntilReceived(FrameKind.FORWARD, false, (byte) 1);
    proxyToB.pause();
    a.transport.send(B, new Frame(FrameKind.FORWARD, new byte[] {2}));
    while (!a.silentChannels.contains(LinkChannel.CONTROL)) {
      a.transport.send(B, new Frame(FrameKind.RENEW, new byte[1]));
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
    proxyToB.resume();
    while (b.received.take().payload()[0] != 2) {
      // Frames of before the pause, and those of the control channel.
    }
    assertThat(a.silentChannels).doesNotContain(LinkChannel.DATA);
    assertThat(a.endedChannels).doesNotContain(LinkChannel.DATA);
  }

  /**
   * Load: a frame that takes longer on its way than a probe may stay unanswered. Guards against a
   * connection that is ended as silent while a large message arrives, and a message that then
   * starts anew.
   */
  @ParameterizedTest
  @ValueSource(strings = {"RENEW", "FORWARD"})
  void connectionOutlivesALargeFrame(FrameKind kind) throws Exception {
    sendUntilReceived(kind, false, (byte) 1);
    proxyToB.slowDown(LARGE_FRAME_BYTES / LARGE_FRAME_SECONDS);
    byte[] large = new byte[LARGE_FRAME_BYTES];
    large[0] = 2;
    a.transport.send(B, new Frame(kind, large));
    sendUntilReceived(kind, false, (byte) 3);
    assertThat(b.received).extracting(f -> f.payload()[0]).contains((byte) 2);
    assertThat(a.silentChannels).isEmpty();
  }

  /**
   * Load: a full link, on which each answer takes longer than a probe may stay unanswered. Guards
   * against a connection that is opened anew again and again and so delivers next to nothing.
   */
  @Test
  void connectionOutlivesLateAnswers() throws Exception {
    sendUntilReceived(FrameKind.RENEW, false, (byte) 1);
    proxyToB.delay(LATE_MILLIS);
    for (int i = 0; i < LATE_FRAMES; i++) {
      a.transport.send(B, new Frame(FrameKind.RENEW, new byte[] {2}));
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
    sendUntilReceived(FrameKind.RENEW, false, (byte) 3);
    assertThat(b.received).filteredOn(f -> f.payload()[0] == 2).hasSize(LATE_FRAMES);
    assertThat(a.silentChannels).isEmpty();
    assertThat(b.endedChannels).isEmpty();
  }

  /** Guards against a silent connection that is kept because its replacement is late too. */
  @Test
  void silentConnectionIsReplacedOnALateLink() throws Exception {
    sendUntilReceived(FrameKind.RENEW, false, (byte) 1);
    proxyToB.delay(LATE_MILLIS);
    proxyToB.silence();
    sendUntilReceived(FrameKind.RENEW, false, (byte) 2);
    assertThat(a.silentChannels).containsOnly(LinkChannel.CONTROL);
  }

  private void sendUntilReceived(FrameKind kind, boolean peerSends, byte mark) throws Exception {
    while (b.received.stream().noneMatch(f -> f.payload()[0] == mark)) {
      a.transport.send(B, new Frame(kind, new byte[] {mark}));
      if (peerSends) {
        b.transport.send(A, new Frame(kind, new byte[] {mark}));
      }
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
  }

  private SilentProxy proxyTo(Side side) throws Exception {
    SilentProxy proxy = new SilentProxy(() -> side.address);
    proxies.add(proxy);
    return proxy;
  }

  /** Transport of one instance, which records what its listener is told. */
  private static final class Side implements LinkListener {
    private final BlockingQueue<Frame> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkChannel> silentChannels = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkChannel> endedChannels = new LinkedBlockingQueue<>();
    private final LinkTransport transport;
    private final Address address;

    private Side(InstanceId id) {
      transport =
          LinkTransport.of(LinkSettings.of("c", id, "s-" + id, "127.0.0.1", 0, "key".getBytes()));
      address = transport.start(this);
    }

    @Override
    public void received(InstanceId from, String session, Frame frame) {
      received.add(frame);
    }

    @Override
    public void silent(InstanceId peer, LinkChannel channel, long unansweredMillis) {
      silentChannels.add(channel);
    }

    @Override
    public void disconnected(InstanceId peer, LinkChannel channel) {
      endedChannels.add(channel);
    }
  }
}
