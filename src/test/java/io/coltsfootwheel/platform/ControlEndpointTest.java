package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.listener.HttpListenerLimits;
import io.coltsfootwheel.listener.ProcessLimits;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.node.ControlNode;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

@Timeout(60)
class ControlEndpointTest {
  private static final String HOST = SingleControlNode.HOST;
  private static final long LIMIT_MILLIS = 20_000;

  @TempDir private Path folder;
  private final LoopResources loops = LoopResources.create("test", 1, true);
  private final Queue<String> logLines = new ConcurrentLinkedQueue<>();
  private final EventLog log = new EventLog(logLines::add, Map.of());
  private ControlNode node;
  private ControlEndpoint endpoint;
  private int port;

  @BeforeEach
  void start() throws IOException {
    port = SingleControlNode.freePort();
    node = SingleControlNode.create(OwnershipSettings.of(1_000, 10_000), folder, log);
    node.start();
    endpoint =
        new ControlEndpoint(
            new Address(HOST, port),
            node,
            log,
            loops,
            HttpListenerLimits.ofCalls(ProcessLimits.ofProcess()));
    endpoint.start();
  }

  @AfterEach
  void stop() throws InterruptedException {
    node.close();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
    log.close();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String readToEnd(Socket socket) throws IOException {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (SocketException e) {
      return "[reset]";
    }
  }

  private static String callHead(int length) {
    return "POST /api/rpc?call=config.put HTTP/1.1\r\nHost: h\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  /** Makes a call until it is acknowledged, as targets do. */
  private void call(String name, String target, String body) throws Exception {
    String answer = "";
    while (!answer.startsWith("HTTP/1.1 200")) {
      try (Socket socket = new Socket(HOST, port)) {
        write(socket, "POST /api/rpc?call=" + name + "&of=" + target + " HTTP/1.1\r\nHost: h\r\n");
        write(socket, "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        answer = readToEnd(socket);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private static String report(long bornMillis) {
    return "{\"born\":"
        + bornMillis
        + ",\"address\":\"10.0.0.1:80\",\"info\":{\"service\":\"s\",\"version\":\"v\",\"zone\":\"z\","
        + "\"capacity\":2},\"status\":{\"phase\":\"ready\",\"sequence\":1,\"warmupLeftMs\":0}}";
  }

  /**
   * Guards against a late announcement of an earlier incarnation that it leaves, which ends the
   * incarnation that runs; and against one without a readable incarnation that is not carried out.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "{\"born\":100}; false",
        "{\"born\":300}; false",
        "{\"born\":200}; true",
        "{\"born\":\"100\"}; true",
        "{\"born\":100.5}; true",
        "{\"born\":100; true",
        "{}; true",
        "''; true"
      })
  void targetLeavesInTheIncarnationThatItNames(String body, boolean leaves) throws Exception {
    call("instances.heartbeat", "t", report(100));
    call("instances.heartbeat", "t", report(200));
    while (logLines.stream().filter(l -> l.contains("target.registered")).count() < 2) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    call("instances.leave", "t", body);
    log.close();
    assertThat(logLines.stream().anyMatch(l -> l.contains("\"phase\":\"LEFT\""))).isEqualTo(leaves);
  }

  /** Sends an evacuation call until the process leads, and returns the last answer. */
  private String evacuate(String parameters, String body) throws Exception {
    String answer = "HTTP/1.1 503";
    while (answer.startsWith("HTTP/1.1 503")) {
      try (Socket socket = new Socket(HOST, port)) {
        write(socket, "POST /api/rpc?call=evacuations." + parameters + " HTTP/1.1\r\nHost: h\r\n");
        write(socket, "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        answer = readToEnd(socket);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return answer;
  }

  /**
   * Guards against evacuation calls without a zone, or with an unknown one, that are confirmed; and
   * against correct calls, also repeated ones, that are refused.
   */
  @ParameterizedTest
  @CsvSource({
    "start&of=z, 200, {}",
    "end&of=z, 200, {}",
    "start, 400, of:",
    "end&of=, 400, of:",
    "start&of=plateau, 400, plateau",
    "end&of=plateau, 400, plateau",
    "start&of=%0A, 400, zone",
    "begin&of=z, 400, evacuations.begin"
  })
  void evacuationNamesAKnownZone(String parameters, int status, String text) throws Exception {
    for (int i = 0; i < 2; i++) {
      assertThat(evacuate(parameters, "")).startsWith("HTTP/1.1 " + status).contains(text);
    }
  }

  /** Guards against an evacuation that is refused, or not logged, because the call has a body. */
  @Test
  void bodyOfAnEvacuationIsIgnoredAndLogged() throws Exception {
    assertThat(evacuate("start&of=z", "{\"of\":\"other\"")).startsWith("HTTP/1.1 200");
    assertThat(evacuate("start&of=z", "")).startsWith("HTTP/1.1 200");
    log.close();
    assertThat(logLines).filteredOn(l -> l.contains("call.body.ignored")).isNotEmpty();
    assertThat(logLines.stream().filter(l -> l.contains("\"evacuation.started\""))).hasSize(1);
  }

  /** Guards against calls that get no answer because the process stops. */
  @Test
  void callsOnOpenConnectionsAreAnsweredDuringTheDrain() throws Exception {
    try (Socket inProgress = new Socket(HOST, port);
        Socket idle = new Socket(HOST, port);
        Socket late = new Socket(HOST, port)) {
      write(inProgress, callHead(2) + "{");
      while (endpoint.callsInProgress() == 0) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      Mono<Void> drained = endpoint.drain(LIMIT_MILLIS).cache();
      drained.subscribe();
      write(late, callHead(2) + "{}");
      assertThat(readToEnd(late)).startsWith("HTTP/1.1 503").contains("connection: close");
      write(inProgress, "}");
      assertThat(readToEnd(inProgress)).startsWith("HTTP/1.1 400").contains("connection: close");
      drained.block();
      assertThat(readToEnd(idle)).isEmpty();
    }
  }
}
