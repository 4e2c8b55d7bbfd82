package io.coltsfootwheel.relay;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Target on the loopback interface that answers each request with its path. A request whose path
 * contains "hold" is answered only after its path was released.
 */
final class HoldingTarget implements AutoCloseable {
  private static final Pattern PATH = Pattern.compile("^\\S+ (\\S+) ");
  private static final Pattern ID = Pattern.compile("\\r\\nid: (.*?)\\r\\n");
  private static final Pattern LENGTH = Pattern.compile("(?i)\\r\\ncontent-length: (\\d+)\\r\\n");
  private static final int POLL_MILLIS = 5;

  private final OwnershipView.Target view;
  private final LoopbackServer server = new LoopbackServer("holding-target", this::serve);
  private final int bodyBytes;
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final List<String> cancelled = new CopyOnWriteArrayList<>();
  private final AtomicInteger openConnections = new AtomicInteger();
  private volatile boolean reads = true;
  private final Set<String> released = ConcurrentHashMap.newKeySet();

  /**
   * Starts a target.
   *
   * @param service the service that it belongs to
   * @param slots requests that it says to execute at the same time
   * @param bodyBytes length to which each body is padded with dots
   */
  HoldingTarget(ServiceName service, int slots, int bodyBytes) {
    this.bodyBytes = bodyBytes;
    this.view =
        new OwnershipView.Target(
            TargetId.of("holding"),
            service,
            server.address(),
            AvailabilityZone.of("z"),
            slots,
            TargetPhase.READY,
            1);
  }

  OwnershipView.Target view() {
    return view;
  }

  /** Returns the paths of all requests, in the order in which they arrived. */
  List<String> received() {
    return List.copyOf(received);
  }

  /** Returns the paths of the requests whose connection was closed while they were held. */
  List<String> cancelled() {
    return List.copyOf(cancelled);
  }

  /** Returns the connections that are open now. */
  int openConnections() {
    return openConnections.get();
  }

  void release(String... paths) {
    released.addAll(List.of(paths));
  }

  /** Lets held requests wait without reading their bodies, or the end of their connections. */
  void stopReading() {
    reads = false;
  }

  @Override
  public void close() {
    server.close();
  }

  private void serve(Socket socket) {
    openConnections.incrementAndGet();
    try (socket) {
      socket.setSoTimeout(POLL_MILLIS);
      String head = readHead(socket);
      while (!head.isEmpty()) {
        String path = find(PATH, head);
        received.add(path);
        if (!path.contains("hold")) {
          readBody(socket, find(LENGTH, head));
        } else if (!awaitRelease(socket, path)) {
          return;
        }
        String body = path + ".".repeat(Math.max(0, bodyBytes - path.length()));
        String answer =
            "HTTP/1.1 200 OK\r\nsignature: s\r\nid: %s\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(find(ID, head), body.length(), body);
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        head = readHead(socket);
      }
    } catch (IOException e) {
      // The relay closed the connection.
    } finally {
      openConnections.decrementAndGet();
    }
  }

  private static void readBody(Socket socket, String length) throws IOException {
    int missingBytes = length.isEmpty() ? 0 : Integer.parseInt(length);
    while (missingBytes > 0) {
      try {
        missingBytes -= socket.getInputStream().read(new byte[missingBytes]);
      } catch (SocketTimeoutException e) {
        // The body is still on its way.
      }
    }
  }

  private static String find(Pattern pattern, String head) {
    Matcher matcher = pattern.matcher(head);
    return matcher.find() ? matcher.group(1) : "";
  }

  private boolean awaitRelease(Socket socket, String path) throws IOException {
    byte[] body = new byte[64 * 1024];
    while (!released.contains(path)) {
      if (!reads) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        continue;
      }
      try {
        if (socket.getInputStream().read(body) < 0) {
          cancelled.add(path);
          return false;
        }
      } catch (SocketTimeoutException e) {
        // The connection is still open.
      }
    }
    return true;
  }

  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      try {
        int character = socket.getInputStream().read();
        if (character < 0) {
          return "";
        }
        head.append((char) character);
      } catch (SocketTimeoutException e) {
        // The connection is idle.
      }
    }
    return head.toString();
  }
}
