package io.coltsfootwheel.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(30)
class LinkTransportTest {
  private static final InstanceId A = InstanceId.of("a");
  private static final InstanceId B = InstanceId.of("b");

  private final List<AutoCloseable> transports = new ArrayList<>();

  @AfterEach
  void closeTransports() throws Exception {
    for (AutoCloseable transport : transports) {
      transport.close();
    }
  }

  /** Guards against lost, duplicated or reordered frames on either channel. */
  @ParameterizedTest
  @CsvSource({"REPLICATION,10000,100", "FORWARD,10000,100", "RESPONSE_CHUNK,20,1000000"})
  void deliversFramesInOrder(FrameKind kind, int count, int bytes) throws Exception {
    RecordingListener listenerB = new RecordingListener();
    LinkTransport a = transport(A, "c1", "key", new RecordingListener());
    Address addressB = start(transport(B, "c1", "key", listenerB), listenerB);
    a.replacePeers(Map.of(B, addressB));
    for (int i = 0; i < count; i++) {
      byte[] payload = new byte[bytes];
      payload[0] = (byte) i;
      Frame frame = new Frame(kind, payload);
      awaitCondition(() -> a.send(B, frame));
    }
    for (int i = 0; i < count; i++) {
      Frame frame = listenerB.frames.poll(20, TimeUnit.SECONDS);
      assertThat(frame).isNotNull();
      assertThat(frame.payload()).hasSize(bytes).startsWith((byte) i);
    }
  }

  /** Guards against accepting peers of another cluster or with another key. */
  @ParameterizedTest
  @CsvSource({"c1,other,WRONG_KEY", "c2,key,WRONG_CLUSTER"})
  void rejectsMismatchedPeerOnBothSides(String cluster, String key, LinkFailure failure)
      throws Exception {
    RecordingListener listenerB = new RecordingListener();
    LinkTransport b = transport(B, cluster, key, listenerB);
    LinkTransport a = transport(A, "c1", "key", new RecordingListener());
    a.replacePeers(Map.of(B, start(b, listenerB)));
    awaitCondition(() -> a.failureCount(failure) > 0);
    awaitCondition(() -> b.failureCount(failure) > 0);
    assertThat(a.send(B, new Frame(FrameKind.RENEW, new byte[1]))).isFalse();
    assertThat(listenerB.frames).isEmpty();
  }

  /** Guards against frames reaching the wrong instance after its address was reused. */
  @Test
  void rejectsUnexpectedInstanceAtAddress() throws Exception {
    RecordingListener listenerC = new RecordingListener();
    LinkTransport a = transport(A, "c1", "key", new RecordingListener());
    a.replacePeers(
        Map.of(B, start(transport(InstanceId.of("c"), "c1", "key", listenerC), listenerC)));
    awaitCondition(() -> a.failureCount(LinkFailure.WRONG_INSTANCE) > 0);
    assertThat(a.send(B, new Frame(FrameKind.RENEW, new byte[1]))).isFalse();
  }

  /**
   * Guards against allocating large buffers or accepting frames before the peer is authenticated.
   */
  @ParameterizedTest
  @CsvSource({
    "4097,0,FRAME_TOO_LARGE",
    "2147483647,0,FRAME_TOO_LARGE",
    "-1,0,BAD_FRAME",
    "0,0,BAD_FRAME",
    "2,99,BAD_FRAME",
    "2,10,BAD_FRAME"
  })
  void closesConnectionOnBadFrame(int length, int kind, LinkFailure failure) throws Exception {
    RecordingListener listener = new RecordingListener();
    LinkTransport b = transport(B, "c1", "key", listener);
    Address address = start(b, listener);
    try (Socket socket = new Socket(address.host(), address.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(length);
      out.write(new byte[] {(byte) kind, 0});
      out.flush();
      assertThat(isClosedByPeer(socket)).isTrue();
    }
    assertThat(b.failureCount(failure)).isEqualTo(1);
  }

  /**
   * Guards against accepting a peer of another protocol version or one that replays an old proof.
   */
  @ParameterizedTest
  @CsvSource({"2,false,WRONG_VERSION", "1,true,WRONG_KEY"})
  void rejectsForgedHello(int version, boolean confirm, LinkFailure failure) throws Exception {
    RecordingListener listener = new RecordingListener();
    LinkTransport b = transport(B, "c1", "key", listener);
    Address address = start(b, listener);
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    Hello hello =
        new Hello("c1", version, "a", "s", LinkChannel.CONTROL, nonce, new byte[32], true);
    try (Socket socket = new Socket(address.host(), address.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      write(out, hello);
      if (confirm) {
        write(out, hello);
      }
      assertThat(isClosedByPeer(socket)).isTrue();
    }
    assertThat(b.failureCount(failure)).isEqualTo(1);
  }

  /** Guards against waiting forever for a peer that accepts the connection but sends nothing. */
  @Test
  void abortsHandshakeWithUnresponsivePeer() throws Exception {
    LinkTransport a = transport(A, "c1", "key", new RecordingListener());
    try (ServerSocket unresponsive = new ServerSocket(0)) {
      a.replacePeers(Map.of(B, new Address("127.0.0.1", unresponsive.getLocalPort())));
      awaitCondition(() -> a.failureCount(LinkFailure.HANDSHAKE_TIMEOUT) > 0);
    }
  }

  /** Guards against unbounded memory use for a peer that does not read. */
  @Test
  void boundsOutboundQueue() throws Exception {
    LinkTransport a = transport(A, "c1", "key", new RecordingListener());
    try (ServerSocket unresponsive = new ServerSocket(0)) {
      a.replacePeers(Map.of(B, new Address("127.0.0.1", unresponsive.getLocalPort())));
      Frame frame = new Frame(FrameKind.FORWARD, new byte[Frame.MAX_PAYLOAD_BYTES - 100]);
      assertThat(a.send(B, frame)).isTrue();
      assertThat(a.send(B, frame)).isTrue();
      assertThat(a.send(B, frame)).isFalse();
      assertThat(a.failureCount(LinkFailure.QUEUE_FULL)).isEqualTo(1);
    }
  }

  /**
   * Guards against a process without memory because many peers do not read: what waits for all of
   * them is bounded, and a peer that reads gets all its frames.
   */
  @ParameterizedTest
  @ValueSource(ints = {4_000, 100_000, 4_000_000})
  void boundsWhatWaitsForAllPeers(int bytes) throws Exception {
    long maxBytes = 20_000_000;
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    LinkTransport a = transportOf(settings(A, "c1", "key").withMaxTotalQueueBytes(maxBytes));
    a.start(listenerA);
    Map<InstanceId, Address> peers = new HashMap<>();
    peers.put(B, start(transport(B, "c1", "key", listenerB), listenerB));
    List<ServerSocket> unresponsive = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      unresponsive.add(new ServerSocket(0));
      peers.put(
          InstanceId.of("u" + i), new Address("127.0.0.1", unresponsive.get(i).getLocalPort()));
    }
    a.replacePeers(peers);
    long acceptedBytes = 0;
    for (int sent = 0; sent < 100_000_000; sent += bytes) {
      Frame frame = new Frame(FrameKind.FORWARD, new byte[bytes]);
      InstanceId to = InstanceId.of("u" + sent / bytes % 10);
      acceptedBytes += a.send(to, frame) ? bytes : 0;
    }
    assertThat(acceptedBytes - listenerA.notWrittenBytes.sum()).isLessThanOrEqualTo(maxBytes);
    Frame small = new Frame(FrameKind.FORWARD, new byte[1_000]);
    for (int i = 0; i < 100; i++) {
      awaitCondition(() -> a.send(B, small));
      assertThat(listenerB.frames.poll(10, TimeUnit.SECONDS)).isNotNull();
    }
    for (ServerSocket socket : unresponsive) {
      socket.close();
    }
  }

  /** Guards against links that end because one update for many peers counts for each of them. */
  @Test
  void frameForManyPeersCountsOnce() throws Exception {
    RecordingListener listenerA = new RecordingListener();
    LinkTransport a = transportOf(settings(A, "c1", "key").withMaxTotalQueueBytes(20_000_000));
    a.start(listenerA);
    Map<InstanceId, Address> peers = new HashMap<>();
    try (ServerSocket unresponsive = new ServerSocket(0)) {
      Address address = new Address("127.0.0.1", unresponsive.getLocalPort());
      for (int i = 0; i < 40; i++) {
        peers.put(InstanceId.of("u" + i), address);
      }
      a.replacePeers(peers);
      Frame frame = new Frame(FrameKind.FORWARD, new byte[4_000_000]);
      for (InstanceId peer : peers.keySet()) {
        assertThat(a.send(peer, frame)).isTrue();
      }
    }
    assertThat(listenerA.notWrittenBytes.sum()).isZero();
    assertThat(a.failureCount(LinkFailure.MEMORY_EXCEEDED)).isZero();
  }

  /** Guards against queueing frames for unknown peers and oversized frames. */
  @ParameterizedTest
  @ValueSource(ints = {1, Frame.MAX_PAYLOAD_BYTES + 1})
  void rejectsUnsendableFrame(int bytes) throws Exception {
    LinkTransport a = transport(A, "c1", "key", new RecordingListener());
    assertThat(a.send(B, new Frame(FrameKind.FORWARD, new byte[bytes]))).isFalse();
  }

  /** Guards against forwarded requests that wait forever after a connection is lost. */
  @ParameterizedTest
  @EnumSource(LinkChannel.class)
  void reportsDisconnectAndSendsAfterRestart(LinkChannel channel) throws Exception {
    RecordingListener listenerA = new RecordingListener();
    RecordingListener listenerB = new RecordingListener();
    LinkTransport a = transport(A, "c1", "key", listenerA);
    LinkTransport b = transport(B, "c1", "key", listenerB);
    Address addressB = start(b, listenerB);
    a.replacePeers(Map.of(B, addressB));
    Frame frame =
        new Frame(
            channel == LinkChannel.DATA ? FrameKind.FORWARD : FrameKind.RENEW, new byte[] {1});
    awaitCondition(() -> a.send(B, frame));
    assertThat(listenerB.frames.poll(10, TimeUnit.SECONDS)).isNotNull();
    b.close();
    awaitCondition(() -> listenerA.disconnectedChannels.contains(channel));
    RecordingListener listenerAfterRestart = new RecordingListener();
    LinkTransport restarted = transport(B, "c1", "key", listenerAfterRestart);
    a.replacePeers(Map.of(B, start(restarted, listenerAfterRestart)));
    awaitCondition(() -> a.send(B, frame));
    assertThat(listenerAfterRestart.frames.poll(10, TimeUnit.SECONDS)).isNotNull();
  }

  private LinkTransport transport(
      InstanceId id, String cluster, String key, RecordingListener listener) {
    LinkTransport transport = transportOf(settings(id, cluster, key));
    if (id.equals(A)) {
      transport.start(listener);
    }
    return transport;
  }

  private static LinkSettings settings(InstanceId id, String cluster, String key) {
    return LinkSettings.of(cluster, id, "s-" + id, "127.0.0.1", 0, key.getBytes());
  }

  private LinkTransport transportOf(LinkSettings settings) {
    LinkTransport transport = LinkTransport.of(settings);
    transports.add(transport);
    return transport;
  }

  private static Address start(LinkTransport transport, RecordingListener listener) {
    return transport.start(listener);
  }

  private static void write(DataOutputStream out, Hello hello) throws Exception {
    byte[] payload = hello.toFrame().payload();
    out.writeInt(payload.length + 1);
    out.write(FrameKind.HELLO.ordinal());
    out.write(payload);
    out.flush();
  }

  /** Reads until the peer closes or resets the connection. */
  private static boolean isClosedByPeer(Socket socket) {
    try {
      new DataInputStream(socket.getInputStream()).readAllBytes();
    } catch (java.io.IOException e) {
      return true;
    }
    return true;
  }

  private static void awaitCondition(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(1);
    }
  }

  private static final class RecordingListener implements LinkListener {
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkChannel> disconnectedChannels = new LinkedBlockingQueue<>();
    private final LongAdder notWrittenBytes = new LongAdder();

    @Override
    public void notWritten(InstanceId peer, Frame frame) {
      notWrittenBytes.add(frame.payload().length);
    }

    @Override
    public void received(InstanceId from, String session, Frame frame) {
      frames.add(frame);
    }

    @Override
    public void disconnected(InstanceId peer, LinkChannel channel) {
      disconnectedChannels.add(channel);
    }
  }
}
