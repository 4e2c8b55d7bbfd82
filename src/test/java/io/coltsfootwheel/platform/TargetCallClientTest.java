package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetCallResult.Outcome;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.resources.LoopResources;

/** Calls a target on loopback that answers with the bytes of the test. */
@Timeout(60)
class TargetCallClientTest {
  private static final String HOST = "127.0.0.1";
  private static final Duration WAIT_LIMIT = Duration.ofSeconds(20);
  private static final long LIMIT_MILLIS = 1_000;
  private static final String OK =
      "HTTP/1.1 200 OK\r\nX-Coltsfootwheel-Handover: abc\r\nContent-Length: 0\r\n\r\n";

  private final LoopResources loops = LoopResources.create("test", 1, true);
  private final TargetCallClient client = new TargetCallClient(loops);
  private final List<String> received = new CopyOnWriteArrayList<>();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0);
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    client.close();
    loops.disposeLater(Duration.ZERO, WAIT_LIMIT).block();
  }

  /** Answers the n-th connection with the n-th text, and keeps it open if that is asked for. */
  private void answer(boolean keepsOpen, String... answers) {
    Thread thread = new Thread(() -> serve(keepsOpen, answers));
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(boolean keepsOpen, String... answers) {
    try {
      for (String answer : answers) {
        Socket socket = server.accept();
        received.add(readRequest(socket.getInputStream()));
        OutputStream out = socket.getOutputStream();
        out.write(answer.replace("\\r\\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        if (!keepsOpen) {
          socket.close();
        }
      }
    } catch (IOException e) {
      received.add("failed: " + e);
    }
  }

  private static String readRequest(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (!text.toString().contains("}")) {
      text.append((char) in.read());
    }
    return text.toString();
  }

  private TargetCall.Grant grant(long limitMillis) {
    return new TargetCall.Grant(
        1,
        TargetId.of("t"),
        new Address(HOST, server.getLocalPort()),
        new KeyRange(4_096, 8_191),
        Fence.of(12),
        "5c0e",
        4_000,
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis));
  }

  private TargetCall.Release release(long limitMillis) {
    return new TargetCall.Release(
        2,
        TargetId.of("t"),
        new Address(HOST, server.getLocalPort()),
        new KeyRange(4_096, 8_191),
        Fence.of(12),
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis));
  }

  private TargetCallResult result(TargetCall call) {
    return client.call(call).block(WAIT_LIMIT);
  }

  /** Guards against fields of a grant that the target reads as something else. */
  @Test
  void grantNamesTheRangeAndItsLease() {
    answer(false, OK);
    assertThat(result(grant(LIMIT_MILLIS))).isEqualTo(TargetCallResult.of(Outcome.DONE));
    assertThat(received.get(0))
        .startsWith("POST /api/grant HTTP/1.1")
        .containsIgnoringCase("X-Coltsfootwheel-Expect-Instance: t\r\n")
        .contains(
            "{\"rangeStart\":4096,\"targetVersion\":8191,\"fence\":12,\"holdMs\":4000,"
                + "\"handover\":\"5c0e\"}");
  }

  /** Guards against a handover token that is lost between two owners. */
  @Test
  void releaseReturnsTheHandoverToken() {
    answer(false, OK);
    assertThat(result(release(LIMIT_MILLIS))).isEqualTo(new TargetCallResult(Outcome.DONE, "abc"));
    assertThat(received.get(0)).startsWith("POST /api/release HTTP/1.1");
  }

  /** Guards against an answer that breaks off, or is none, and is taken as a success. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 409 Conflict\\r\\nContent-Length: 0\\r\\n\\r\\n | FENCE_TOO_LOW",
        "HTTP/1.1 421 Misdirected\\r\\nContent-Length: 0\\r\\n\\r\\n | NOT_DELIVERED",
        "HTTP/1.1 503 Busy\\r\\nContent-Length: 0\\r\\n\\r\\n | UNKNOWN",
        "HTTP/1.1 200 OK\\r\\nContent-Length: 10\\r\\n\\r\\nabc | UNKNOWN",
        "HTTP/1.1 200 OK\\r\\nContent-Len | UNKNOWN",
        "HTTP/1.1 20 | UNKNOWN",
        "no answer at all | UNKNOWN",
        "'' | UNKNOWN",
      })
  void answerDecidesTheOutcome(String answer, Outcome expected) {
    answer(false, answer);
    assertThat(result(release(LIMIT_MILLIS)).outcome()).isEqualTo(expected);
  }

  /** Guards against a call that waits for ever, or for an answer without end. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\\r\\nContent-Length: 3\\r\\n\\r\\na",
        "HTTP/1.1 200 OK\\r\\nX-Endless: a"
      })
  void callWithoutACompleteAnswerEndsAtItsLimit(String answer) {
    answer(true, answer);
    assertThat(result(grant(300)).outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  /** Guards against a grant that is sent after the time that its lease was counted from. */
  @Test
  void callIsNotSentAfterItsLimit() {
    answer(false, OK);
    assertThat(result(grant(-1)).outcome()).isEqualTo(Outcome.NOT_DELIVERED);
    assertThat(received).isEmpty();
  }

  /** Guards against a lease that is extended although no process listened. */
  @Test
  void refusedConnectionDeliversNothing() throws IOException {
    TargetCall call = grant(LIMIT_MILLIS);
    server.close();
    assertThat(result(call).outcome()).isEqualTo(Outcome.NOT_DELIVERED);
  }

  /** Guards against a second copy of an earlier answer that is taken as the end of a release. */
  @Test
  void releaseIgnoresARepeatedAnswerToAGrant() {
    answer(true, OK + OK, "");
    assertThat(result(grant(LIMIT_MILLIS)).outcome()).isEqualTo(Outcome.DONE);
    assertThat(result(release(300)).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(received).hasSize(2);
  }
}
