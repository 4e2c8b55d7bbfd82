package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Backend of a service that is divided by key. It runs a request only while it holds the key, and
 * takes its keys from the answers to its liveness reports.
 */
final class KeyedBackend {
  static final int PORT = 8080;
  private static final Pattern ROW =
      Pattern.compile("\\[\\s*(\\d+)\\s*,\\s*(\\d+)\\s*,\\s*(\\d+)\\s*,\\s*\"([^\"]*)\"\\s*\\]");

  /** Keys held from a time on; the end is open while they are held. */
  static final class Hold {
    final int from;
    final int to;
    final long fence;
    final long beginMillis;
    volatile long endMillis = Long.MAX_VALUE;

    Hold(int from, int to, long fence, long beginMillis) {
      this.from = from;
      this.to = to;
      this.fence = fence;
      this.beginMillis = beginMillis;
    }

    boolean isOf(int key) {
      return from <= key && key <= to;
    }
  }

  /** A request that the backend began to run. */
  record Run(String id, int key, long atMillis) {}

  final String id;
  final String ip;
  final long born = System.currentTimeMillis();
  final List<Hold> holds = new ArrayList<>();
  final List<Run> runs = new ArrayList<>();
  private final Cluster cluster;
  private final Map<Integer, Long> highestFence = new HashMap<>();
  private long leaseEndMillis;
  private int sequence;
  private List<int[]> released = new ArrayList<>();
  private volatile boolean stopped;
  volatile boolean isCut;

  KeyedBackend(Cluster cluster, String id, String ip) {
    this.cluster = cluster;
    this.id = id;
    this.ip = ip;
  }

  void start() throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), PORT));
    daemon(() -> accept(server));
    daemon(this::beats);
    daemon(this::expiries);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  synchronized List<Hold> holds() {
    return List.copyOf(holds);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  private synchronized List<Hold> current() {
    return holds.stream().filter(h -> h.endMillis == Long.MAX_VALUE).toList();
  }

  private void expiries() {
    while (!stopped) {
      synchronized (this) {
        if (cluster.millis() >= leaseEndMillis) {
          for (Hold hold : current()) {
            hold.endMillis = leaseEndMillis;
            cluster.record(id + " lost " + hold.from + "-" + hold.to + ": its lease ended");
          }
        }
      }
      sleep(10);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void beats() {
    int next = 0;
    while (!stopped) {
      long sentMillis = cluster.millis();
      boolean isChanged = false;
      if (!isCut) {
        String body = report();
        Cluster.Reply reply =
            cluster.call(
                cluster.controls.get(next % cluster.controls.size()),
                "call=instances.heartbeat&of=" + id, null, body, 1_000);
        if (reply.status() == 200) {
          isChanged = apply(sentMillis, reply.body());
        } else {
          next++;
        }
      }
      sleep(isChanged ? 80 : 800);
    }
  }

  private synchronized String report() {
    sequence++;
    List<String> held = new ArrayList<>();
    current().forEach(h -> held.add("[" + h.from + "," + h.to + "," + h.fence + "]"));
    List<String> given = new ArrayList<>();
    released.forEach(r -> given.add("[" + r[0] + "," + r[1] + ",\"" + id + sequence + "\"]"));
    return "{\"born\":" + born + ",\"address\":\"" + ip + ":" + PORT + "\",\"info\":{\"service\":\"keyed\",\"version\":\"v1\","
        + "\"zone\":\"plateau\",\"capacity\":4},\"status\":{\"phase\":\"ready\",\"sequence\":" + sequence
        + ",\"warmupLeftMs\":0},\"holds\":[" + String.join(",", held) + "],\"released\":["
        + String.join(",", given) + "]}";
  }

  /** Takes over the keys of an answer; returns whether keys were released. */
  private synchronized boolean apply(long sentMillis, String answer) {
    released = new ArrayList<>();
    Matcher duration = Pattern.compile("\"holdMs\"\\s*:\\s*(\\d+)").matcher(answer);
    if (!answer.contains("\"holds\"") || !duration.find()) {
      return false;
    }
    List<int[]> rows = new ArrayList<>();
    Matcher row = ROW.matcher(answer);
    while (row.find()) {
      rows.add(new int[] {Integer.parseInt(row.group(1)), Integer.parseInt(row.group(2)), Integer.parseInt(row.group(3))});
    }
    long nowMillis = cluster.millis();
    boolean changed = false;
    for (Hold hold : current()) {
      if (rows.stream().noneMatch(r -> r[0] == hold.from && r[1] == hold.to && r[2] == hold.fence)) {
        hold.endMillis = nowMillis;
        boolean kept = rows.stream().anyMatch(r -> r[0] <= hold.from && hold.to <= r[1]);
        if (!kept) {
          released.add(new int[] {hold.from, hold.to});
        }
        changed = true;
        cluster.record(id + " released " + hold.from + "-" + hold.to + " epoch " + hold.fence);
      }
    }
    leaseEndMillis = Math.max(leaseEndMillis, sentMillis + Long.parseLong(duration.group(1)));
    for (int[] r : rows) {
      boolean known = current().stream().anyMatch(h -> h.from == r[0] && h.to == r[1] && h.fence == r[2]);
      boolean stale = false;
      for (int key = r[0]; key <= r[1]; key++) {
        stale |= highestFence.getOrDefault(key, -1L) > r[2];
      }
      if (!known && !stale) {
        for (int key = r[0]; key <= r[1]; key++) {
          highestFence.put(key, (long) r[2]);
        }
        holds.add(new Hold(r[0], r[1], r[2], nowMillis));
        cluster.record(id + " holds " + r[0] + "-" + r[1] + " epoch " + r[2]);
      }
    }
    return changed;
  }

  private void accept(ServerSocket server) {
    while (!stopped) {
      try {
        Socket socket = server.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      while (true) {
        String head = EarlyBackend.readHead(in);
        String requestId = EarlyBackend.header(head, "X-Coltsfootwheel-Request-Id");
        String key = EarlyBackend.header(head, "X-Coltsfootwheel-Shard-Key");
        boolean isRun = begin(requestId, key, EarlyBackend.header(head, "X-Coltsfootwheel-Expect-Instance"));
        if (isRun) {
          sleep(40);
        }
        String body = isRun ? id : "";
        String answer =
            (isRun ? "HTTP/1.1 200 OK\r\nX-Coltsfootwheel-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                    : "HTTP/1.1 421 Misdirected Request\r\nX-Coltsfootwheel-Not-Executed: 1\r\n")
                + "X-Coltsfootwheel-Request-Id: " + requestId + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (Exception e) {
      // The connection has ended.
    }
  }

  private synchronized boolean begin(String requestId, String key, String expected) {
    int number = key.isEmpty() ? -1 : Integer.parseInt(key);
    boolean isHeld = expected.equals(id) && current().stream().anyMatch(h -> h.isOf(number));
    if (isHeld) {
      runs.add(new Run(requestId, number, cluster.millis()));
    }
    return isHeld;
  }
}
