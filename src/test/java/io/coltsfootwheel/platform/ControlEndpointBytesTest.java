package io.coltsfootwheel.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.listener.HttpListenerLimits;
import io.coltsfootwheel.listener.ProcessLimits;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.node.ControlNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.netty.resources.LoopResources;

/** Tests the HTTP server of a control process against callers that send odd bytes. */
@Timeout(30)
class ControlEndpointBytesTest {
  private static final String HOST = SingleControlNode.HOST;

  /** Largest socket buffers of sender and receiver; bytes in them use no memory of the server. */
  private static final long SOCKET_BUFFER_BYTES = 12L * 1024 * 1024;

  /** Heap of a control process in the deploy file. */
  private static final long HEAP_BYTES = 64L * 1024 * 1024;

  @TempDir private Path folder;

  private final ConcurrentLinkedQueue<String> logLines = new ConcurrentLinkedQueue<>();
  private final EventLog log = new EventLog(logLines::add, Map.of());
  private final LoopResources loops = LoopResources.create("test", 1, true);
  private ControlEndpoint endpoint;
  private int port;

  @BeforeEach
  void start() throws IOException {
    ControlNode node = SingleControlNode.create(OwnershipSettings.of(300, 3_000), folder, log);
    port = SingleControlNode.freePort();
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
    endpoint.drain(0).block();
    loops.dispose();
    log.close();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String statusLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = in.read();
    while (next >= 0 && next != '\r') {
      line.append((char) next);
      next = in.read();
    }
    return line.toString();
  }

  /** Guards against a call whose body without end is buffered until the time limit of the call. */
  @ParameterizedTest
  @CsvSource({
    "instances.heartbeat, Transfer-Encoding: chunked, chunks",
    "instances.heartbeat, Content-Length: 9000000000000000000, bytes",
    "config.put, Transfer-Encoding: chunked, chunks",
    "unknown, Content-Length: 9000000000000000000, bytes"
  })
  void endlessBodyIsRejectedAndTheConnectionCloses(String call, String header, String part)
      throws Exception {
    String body = "a".repeat(0x8000);
    byte[] block = bytes(part.equals("chunks") ? "8000\r\n" + body + "\r\n" : body);
    AtomicLong sentBytes = new AtomicLong();
    try (Socket socket = new Socket(HOST, port)) {
      OutputStream out = socket.getOutputStream();
      out.write(
          bytes(
              "POST /api/rpc?call="
                  + call
                  + "&of=i-1 HTTP/1.1\r\nHost: h\r\n"
                  + header
                  + "\r\n\r\n"));
      Thread sender = new Thread(() -> sendUntilClosed(out, block, sentBytes));
      sender.setDaemon(true);
      sender.start();
      assertThat(statusLine(socket.getInputStream())).isEqualTo("HTTP/1.1 400 Bad Request");
      sender.join(10_000);
      assertThat(sender.isAlive()).isFalse();
    }
    assertThat(sentBytes.get()).isLessThan(HEAP_BYTES / 4 + SOCKET_BUFFER_BYTES);
  }

  private static void sendUntilClosed(OutputStream out, byte[] block, AtomicLong sentBytes) {
    try {
      while (true) {
        out.write(block);
        sentBytes.addAndGet(block.length);
      }
    } catch (IOException e) {
      // The server closed the connection.
    }
  }

  /** Guards against a URI that cannot be decoded and is answered without a log line. */
  @Test
  void undecodableUriIsRejectedAndLogged() throws Exception {
    try (Socket socket = new Socket(HOST, port)) {
      socket
          .getOutputStream()
          .write(bytes("POST /api/rpc?call=%zz HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"));
      assertThat(statusLine(socket.getInputStream())).isEqualTo("HTTP/1.1 400 Bad Request");
    }
    log.close();
    assertThat(logLines).anyMatch(line -> line.contains("call.unreadable"));
  }
}
