package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.dispatch.DispatchRequest;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.dispatch.StampSigner;
import io.coltsfootwheel.edge.CallerRequest;
import io.coltsfootwheel.edge.ResponseRelay;
import io.coltsfootwheel.link.ForwardFrame;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkChannel;
import io.coltsfootwheel.link.LinkListener;
import io.coltsfootwheel.link.LinkSettings;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EntryDriverTest implements LinkListener {
  private static final InstanceId SELF = InstanceId.of("self");
  private static final InstanceId STOPPED = InstanceId.of("stopped");
  private static final ServiceName BOOKS = ServiceName.of("books");
  private static final long IDLE_MILLIS = 20_000;

  private final BlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final LinkTransport link =
      LinkTransport.of(LinkSettings.of("c", SELF, "s", "127.0.0.1", 0, "key".getBytes()));
  private final ResponseRelay relay = ResponseRelay.of(link, IDLE_MILLIS);
  private final EntryDriver driver =
      new EntryDriver(
          SELF,
          new StampSigner(new byte[32]),
          link,
          relay,
          events::add,
          new RequestRecorder(new SimpleMeterRegistry(), System::nanoTime, Map.of()));

  /**
   * Guards against the outcome unknown for a request that was queued for a stopped instance and
   * never written to it: a non-idempotent request would not be retried.
   */
  @Test
  void requestForAStoppedInstanceIsReportedAsNotWritten() throws Exception {
    link.start(this);
    link.replacePeers(Map.of(STOPPED, closedAddress()));
    try {
      driver.handle(request()).subscribe();
      assertThat(entryEvent()).isInstanceOf(EntryEvent.RequestArrived.class);
      driver.execute(new EntryEffect.Forward(1, STOPPED, attempt()));
      assertThat(entryEvent())
          .isInstanceOfSatisfying(
              EntryEvent.ForwardFailed.class, failed -> assertThat(failed.written()).isFalse());
    } finally {
      relay.close();
      link.close();
    }
  }

  @Override
  public void received(InstanceId from, String session, Frame frame) {}

  @Override
  public void notWritten(InstanceId peer, Frame frame) {
    driver.forwardNotWritten(peer, ForwardFrame.decode(frame.payload()).requestId());
  }

  @Override
  public void disconnected(InstanceId peer, LinkChannel channel) {
    if (channel == LinkChannel.DATA) {
      relay.disconnected(peer);
    }
  }

  private EntryEvent entryEvent() throws InterruptedException {
    return ((InstanceEvent.Entry) events.take()).event();
  }

  private static Address closedAddress() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return new Address("127.0.0.1", socket.getLocalPort());
    }
  }

  private static CallerRequest request() {
    return new CallerRequest(
        1,
        BOOKS,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        false,
        10_000,
        System.nanoTime(),
        "POST",
        "/x",
        List.of(),
        new byte[0]);
  }

  private static DispatchRequest attempt() {
    return new DispatchRequest(
        "self/s/1/1",
        BOOKS,
        TargetId.of("t1"),
        OptionalInt.empty(),
        Optional.empty(),
        false,
        Optional.empty(),
        System.nanoTime() + 10_000_000_000L,
        Fence.of(1),
        0);
  }
}
