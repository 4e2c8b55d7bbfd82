package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.link.LinkChannel;
import io.coltsfootwheel.link.LinkListener;
import io.coltsfootwheel.link.LinkSettings;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Links to other processes. Control members are named by their IP addresses and all listen on the
 * same port.
 */
final class NodeLinks implements LinkListener {
  /** A quarter of a second on a link of 4 Mbit/s. */
  private static final int LARGE_MESSAGE_BYTES = 128 * 1024;

  private final int memberPort;
  private final LinkTransport transport;
  private final BiConsumer<InstanceId, NodeMessage> receiver;
  private final Consumer<InstanceId> onLost;
  private final EventLog log;
  private final SharedFrames frames = new SharedFrames();

  /**
   * Creates the links without starting them.
   *
   * @param cluster cluster name, the same in all processes
   * @param self address of this process; its host is its name
   * @param memberPort port on which control members listen
   * @param receiver receives messages; called on network threads
   * @param onLost called when messages to a process may be lost, because there is no link to it or
   *     its link has ended; called on any thread
   * @param log structured log
   * @param maxInboundConnections connections of other processes that may be open at once
   */
  NodeLinks(
      String cluster,
      Address self,
      int memberPort,
      BiConsumer<InstanceId, NodeMessage> receiver,
      Consumer<InstanceId> onLost,
      EventLog log,
      int maxInboundConnections) {
    this.onLost = onLost;
    this.memberPort = memberPort;
    this.receiver = receiver;
    this.log = log;
    String session = Long.toString(System.nanoTime(), Character.MAX_RADIX);
    this.transport =
        LinkTransport.of(
            LinkSettings.of(
                    cluster,
                    InstanceId.of(self.host()),
                    session,
                    self.host(),
                    self.port(),
                    cluster.getBytes(StandardCharsets.UTF_8))
                .withMaxInboundConnections(maxInboundConnections));
  }

  void start(ListenerBinder binder) {
    transport.start(this, binder);
  }

  void peers(Set<InstanceId> members, Map<InstanceId, Address> others) {
    Map<InstanceId, Address> addresses = new HashMap<>(others);
    members.forEach(m -> addresses.put(m, new Address(m.value(), memberPort)));
    transport.replacePeers(addresses);
  }

  void send(InstanceId to, NodeMessage message) {
    Frame frame = frames.frameOf(message);
    if (frame.payload().length >= LARGE_MESSAGE_BYTES) {
      log.write(
          LogEvent.of("message.large")
              .with("peer", to)
              .with("type", message.getClass().getSimpleName())
              .with("bytes", frame.payload().length));
    }
    if (!transport.send(to, frame)) {
      onLost.accept(to);
    }
  }

  void close() {
    transport.close();
  }

  @Override
  public void received(InstanceId from, String session, Frame frame) {
    if (frame.kind() != FrameKind.NODE) {
      log.write(LogEvent.of("link.frame.unexpected").with("peer", from).with("kind", frame.kind()));
      return;
    }
    try {
      receiver.accept(from, NodeMessage.decode(frame));
    } catch (ColtsfootwheelException e) {
      log.write(
          LogEvent.of("link.frame.unreadable").with("peer", from).with("error", e.getMessage()));
    }
  }

  @Override
  public void connected(InstanceId peer, String session, LinkChannel channel) {
    log.write(LogEvent.of("link.up").with("peer", peer));
  }

  @Override
  public void silent(InstanceId peer, LinkChannel channel, long unansweredMillis) {
    log.write(
        LogEvent.of("link.silent").with("peer", peer).with("unanswered_ms", unansweredMillis));
  }

  @Override
  public void disconnected(InstanceId peer, LinkChannel channel) {
    log.write(LogEvent.of("link.down").with("peer", peer));
    onLost.accept(peer);
  }
}
