package io.coltsfootwheel.link;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
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

  private final List<AutoCloseable> opened = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable closeable : opened) {
      closeable.close();
    }
  }

  /** Guards against lost, repeated or reordered frames on either channel. */
  @ParameterizedTest
  @CsvSource({"REPLICATION,10000,100", "FORWARD,10000,100", "RESPONSE_CHUNK,20,1000000"})
  void deliversFramesInOrder(FrameKind kind, int count, int bytes) throws Exception {
    Recorder atB = new Recorder();
    LinkTransport a = transport(A, "c1", "key", new Recorder());
    Address addressB = listen(transport(B, "c1", "key", atB), atB);
    a.peers(Map.of(B, addressB));
    for (int i = 0; i < count; i++) {
      byte[] payload = new byte[bytes];
      payload[0] = (byte) i;
      Frame frame = new Frame(kind, payload);
      await(() -> a.send(B, frame));
    }
    for (int i = 0; i < count; i++) {
      Frame frame = atB.frames.poll(20, TimeUnit.SECONDS);
      assertThat(frame).isNotNull();
      assertThat(frame.payload()).hasSize(bytes).startsWith((byte) i);
    }
  }

  /** Guards against peers of another cluster or with another key getting a connection. */
  @ParameterizedTest
  @CsvSource({"c1,other,WRONG_KEY", "c2,key,WRONG_CLUSTER"})
  void refusesOnBothSides(String cluster, String key, LinkFailure failure) throws Exception {
    Recorder atB = new Recorder();
    LinkTransport b = transport(B, cluster, key, atB);
    LinkTransport a = transport(A, "c1", "key", new Recorder());
    a.peers(Map.of(B, listen(b, atB)));
    await(() -> a.failures(failure) > 0);
    await(() -> b.failures(failure) > 0);
    assertThat(a.send(B, new Frame(FrameKind.RENEW, new byte[1]))).isFalse();
    assertThat(atB.frames).isEmpty();
  }

  /** Guards against a message for one instance reaching another after an address was reused. */
  @Test
  void refusesAnotherInstanceAtTheAddress() throws Exception {
    Recorder atC = new Recorder();
    LinkTransport a = transport(A, "c1", "key", new Recorder());
    a.peers(Map.of(B, listen(transport(InstanceId.of("c"), "c1", "key", atC), atC)));
    await(() -> a.failures(LinkFailure.WRONG_INSTANCE) > 0);
    assertThat(a.send(B, new Frame(FrameKind.RENEW, new byte[1]))).isFalse();
  }

  /** Guards against memory taken and frames accepted before the peer is authenticated. */
  @ParameterizedTest
  @CsvSource({
    "4097,0,FRAME_TOO_LARGE",
    "2147483647,0,FRAME_TOO_LARGE",
    "-1,0,BAD_FRAME",
    "0,0,BAD_FRAME",
    "2,99,BAD_FRAME",
    "2,10,BAD_FRAME"
  })
  void closesOnBadFrames(int length, int kind, LinkFailure failure) throws Exception {
    Recorder recorder = new Recorder();
    LinkTransport b = transport(B, "c1", "key", recorder);
    Address address = listen(b, recorder);
    try (Socket socket = new Socket(address.host(), address.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(length);
      out.write(new byte[] {(byte) kind, 0});
      out.flush();
      assertThat(endsAfter(socket)).isTrue();
    }
    assertThat(b.failures(failure)).isEqualTo(1);
  }

  /** Guards against a peer of another version, or one that replays an old proof, being accepted. */
  @ParameterizedTest
  @CsvSource({"2,false,WRONG_VERSION", "1,true,WRONG_KEY"})
  void refusesForgedHello(int version, boolean confirm, LinkFailure failure) throws Exception {
    Recorder recorder = new Recorder();
    LinkTransport b = transport(B, "c1", "key", recorder);
    Address address = listen(b, recorder);
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    Hello hello = new Hello("c1", version, "a", "s", LinkChannel.CONTROL, nonce, new byte[32]);
    try (Socket socket = new Socket(address.host(), address.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      write(out, hello);
      if (confirm) {
        write(out, hello);
      }
      assertThat(endsAfter(socket)).isTrue();
    }
    assertThat(b.failures(failure)).isEqualTo(1);
  }

  /** Guards against waiting for ever for a peer that accepts but stays silent. */
  @Test
  void endsSilentHandshake() throws Exception {
    LinkTransport a = transport(A, "c1", "key", new Recorder());
    try (ServerSocket silent = new ServerSocket(0)) {
      a.peers(Map.of(B, new Address("127.0.0.1", silent.getLocalPort())));
      await(() -> a.failures(LinkFailure.HANDSHAKE_TIMEOUT) > 0);
    }
  }

  /** Guards against unbounded memory for a peer that does not read. */
  @Test
  void boundsTheQueue() throws Exception {
    LinkTransport a = transport(A, "c1", "key", new Recorder());
    try (ServerSocket silent = new ServerSocket(0)) {
      a.peers(Map.of(B, new Address("127.0.0.1", silent.getLocalPort())));
      Frame frame = new Frame(FrameKind.FORWARD, new byte[Frame.MAX_PAYLOAD_BYTES - 100]);
      assertThat(a.send(B, frame)).isTrue();
      assertThat(a.send(B, frame)).isTrue();
      assertThat(a.send(B, frame)).isFalse();
      assertThat(a.failures(LinkFailure.QUEUE_FULL)).isEqualTo(1);
    }
  }

  /** Guards against frames for unknown peers and oversized frames being queued. */
  @ParameterizedTest
  @ValueSource(ints = {1, Frame.MAX_PAYLOAD_BYTES + 1})
  void refusesAtOnce(int bytes) throws Exception {
    LinkTransport a = transport(A, "c1", "key", new Recorder());
    assertThat(a.send(B, new Frame(FrameKind.FORWARD, new byte[bytes]))).isFalse();
  }

  /** Guards against forwarded requests that wait for ever after a connection is lost. */
  @ParameterizedTest
  @EnumSource(LinkChannel.class)
  void reportsLossAndReconnects(LinkChannel channel) throws Exception {
    Recorder atA = new Recorder();
    Recorder atB = new Recorder();
    LinkTransport a = transport(A, "c1", "key", atA);
    LinkTransport b = transport(B, "c1", "key", atB);
    Address addressB = listen(b, atB);
    a.peers(Map.of(B, addressB));
    Frame frame =
        new Frame(
            channel == LinkChannel.DATA ? FrameKind.FORWARD : FrameKind.RENEW, new byte[] {1});
    await(() -> a.send(B, frame));
    assertThat(atB.frames.poll(10, TimeUnit.SECONDS)).isNotNull();
    b.close();
    await(() -> atA.lost.contains(channel));
    Recorder again = new Recorder();
    LinkTransport restarted = transport(B, "c1", "key", again);
    a.peers(Map.of(B, listen(restarted, again)));
    await(() -> a.send(B, frame));
    assertThat(again.frames.poll(10, TimeUnit.SECONDS)).isNotNull();
  }

  private LinkTransport transport(InstanceId id, String cluster, String key, Recorder recorder) {
    LinkTransport transport =
        LinkTransport.of(LinkSettings.of(cluster, id, "s-" + id, "127.0.0.1", 0, key.getBytes()));
    opened.add(transport);
    if (id.equals(A)) {
      transport.start(recorder);
    }
    return transport;
  }

  private static Address listen(LinkTransport transport, Recorder recorder) {
    return transport.start(recorder);
  }

  private static void write(DataOutputStream out, Hello hello) throws Exception {
    byte[] payload = hello.toFrame().payload();
    out.writeInt(payload.length + 1);
    out.write(FrameKind.HELLO.ordinal());
    out.write(payload);
    out.flush();
  }

  /** Reads until the end; a reset counts as an end too. */
  private static boolean endsAfter(Socket socket) {
    try {
      new DataInputStream(socket.getInputStream()).readAllBytes();
    } catch (java.io.IOException e) {
      return true;
    }
    return true;
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(1);
    }
  }

  private static final class Recorder implements LinkListener {
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkChannel> lost = new LinkedBlockingQueue<>();

    @Override
    public void received(InstanceId from, String session, Frame frame) {
      frames.add(frame);
    }

    @Override
    public void disconnected(InstanceId peer, LinkChannel channel) {
      lost.add(channel);
    }
  }
}
