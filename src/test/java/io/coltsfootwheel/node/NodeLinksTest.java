package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.link.SilentProxy;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NodeLinksTest {
  private static final InstanceId A = InstanceId.of("127.0.0.2");
  private static final InstanceId B = InstanceId.of("127.0.0.3");
  private static final long SEND_INTERVAL_MILLIS = 50;

  private final EventLog log = new EventLog(line -> {}, Map.of());
  private final BlockingQueue<NodeMessage> receivedByB = new LinkedBlockingQueue<>();

  /**
   * Guards against a process that never hears of its peer again, although both run: the connection
   * on which the peer sends to it has gone silent, and its own connection works.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @Timeout(20)
  void silentConnectionIsOpenedAgain(boolean peerSends) throws Exception {
    Address addressA = new Address(A.value(), freePort(A));
    Address addressB = new Address(B.value(), freePort(B));
    NodeLinks a = links(addressA, new LinkedBlockingQueue<>());
    NodeLinks b = links(addressB, receivedByB);
    try (SilentProxy proxyToB = new SilentProxy(() -> addressB)) {
      a.start(ListenerBinder.withoutRetry());
      b.start(ListenerBinder.withoutRetry());
      a.peers(Set.of(), Map.of(B, proxyToB.address()));
      b.peers(Set.of(), Map.of(A, addressA));
      sendUntilReceived(a, b, peerSends, new NodeMessage.Join("before"));
      proxyToB.silence();
      sendUntilReceived(a, b, peerSends, new NodeMessage.Join("after"));
    } finally {
      a.close();
      b.close();
    }
  }

  private void sendUntilReceived(NodeLinks a, NodeLinks b, boolean peerSends, NodeMessage message)
      throws InterruptedException {
    while (!receivedByB.contains(message)) {
      a.send(B, message);
      if (peerSends) {
        b.send(A, message);
      }
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
  }

  @AfterEach
  void closeLog() throws InterruptedException {
    log.close();
  }

  private NodeLinks links(Address self, BlockingQueue<NodeMessage> received) {
    return new NodeLinks(
        "c", self, self.port(), (from, message) -> received.add(message), lost -> {}, log, 100);
  }

  private static int freePort(InstanceId host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host.value()))) {
      return socket.getLocalPort();
    }
  }
}
