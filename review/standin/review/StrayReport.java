package review;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A liveness report of another writer names a service that no config has. */
public final class StrayReport {
  /** Longest time for which two backends may hold the same keys, by the rule OWNER. */
  private static final long MAX_OVERLAP_MILLIS = 500;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cluster cluster = new Cluster(Path.of(arguments[0]), 3)) {
      System.exit(run(cluster, trouble));
    }
  }

  private static int run(Cluster cluster, boolean trouble) throws Exception {
    cluster.startControls();
    cluster.startEntry(0);
    if (cluster.order("call=config.put", "0", config(), 30_000).status() != 200) {
      return 2;
    }
    List<KeyedBackend> backends = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      KeyedBackend backend = new KeyedBackend(cluster, "i-" + i, cluster.prefix + (100 + i));
      backends.add(backend);
      backend.start();
    }
    if (!cluster.awaitReady(0, 30_000)) {
      return 2;
    }
    Thread.sleep(6_000);
    int[] served = new int[1];
    long endMillis = cluster.millis() + 14_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int number = i;
      Thread client = new Thread(() -> send(cluster, number, endMillis, served));
      client.start();
      clients.add(client);
    }
    Thread.sleep(3_000);
    if (trouble) {
      KeyedBackend named = backends.get(0);
      String body =
          "{\"born\":" + System.currentTimeMillis() + ",\"address\":\"" + named.ip + ":" + KeyedBackend.PORT
              + "\",\"info\":{\"service\":\"unnamed\",\"version\":\"v1\",\"zone\":\"plateau\",\"capacity\":4},"
              + "\"status\":{\"phase\":\"ready\",\"sequence\":1,\"warmupLeftMs\":0},\"holds\":[],\"released\":[]}";
      cluster.record("another writer reports: " + body);
      Cluster.Reply reply =
          cluster.call(cluster.controls.get(0), "call=instances.heartbeat&of=i-other", null, body, 1_000);
      cluster.record("the answer: " + reply.status() + " " + Cluster.brief(reply.body()));
    }
    for (Thread client : clients) {
      client.join();
    }
    cluster.record("served " + served[0] + " requests");
    for (KeyedBackend backend : backends) {
      cluster.record(backend.id + " ran " + backend.runs().size());
    }
    for (String control : List.of("core-0", "core-1", "core-2")) {
      cluster.recordLog(control, "target.removed", 3);
      cluster.recordLog(control, "\"i-other\"", 3);
    }
    return judge(cluster, backends) ? (served[0] > 100 ? 0 : 2) : 1;
  }

  static String config() {
    return "{\"version\":\"r1\",\"resources\":["
        + "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-k\"},\"spec\":{\"hostname\":\"keyed.example\","
        + "\"pathPrefix\":\"/k/\",\"kind\":\"safe\",\"timeoutMs\":1000,\"targetLatencyMs\":400,"
        + "\"priority\":0,\"service\":\"keyed\",\"maxAttempts\":2}},"
        + "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"keyed\"},\"spec\":{\"healthPath\":\"/healthz\","
        + "\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warmS\":2.0,\"grants\":\"heartbeat\"}},"
        + "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
        + "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}";
  }

  private static void send(Cluster cluster, int client, long endMillis, int[] served) {
    Random random = new Random(client);
    for (int i = 0; cluster.millis() < endMillis; i++) {
      String id = "c" + client + "-" + i;
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(cluster.entry(0), Cluster.FRONT_PORT), 1_000);
        socket.setSoTimeout(1_500);
        OutputStream out = socket.getOutputStream();
        String head =
            "GET /k/x HTTP/1.1\r\nHost: keyed.example\r\nX-Coltsfootwheel-Request-Id: " + id
                + "\r\nX-Coltsfootwheel-Request-Deadline-Ms: 1000\r\nX-Coltsfootwheel-Shard-Key: "
                + random.nextInt(65_536) + "\r\nConnection: close\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        String answer = new String(Cluster.readAll(socket.getInputStream()), StandardCharsets.ISO_8859_1);
        synchronized (served) {
          served[0] += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
        }
        Thread.sleep(20);
      } catch (Exception e) {
        cluster.record(id + " failed: " + e);
      }
    }
  }

  /** Returns whether no two backends held the same keys for longer than the rule allows. */
  static boolean judge(Cluster cluster, List<KeyedBackend> backends) {
    boolean held = true;
    long nowMillis = cluster.millis();
    for (KeyedBackend one : backends) {
      for (KeyedBackend other : backends) {
        if (one.id.compareTo(other.id) >= 0) {
          continue;
        }
        for (KeyedBackend.Hold a : one.holds()) {
          for (KeyedBackend.Hold b : other.holds()) {
            long begin = Math.max(a.beginMillis, b.beginMillis);
            long end = Math.min(Math.min(a.endMillis, b.endMillis), nowMillis);
            int from = Math.max(a.from, b.from);
            int to = Math.min(a.to, b.to);
            if (from <= to && end - begin > 0) {
              long runsOfOne = runs(one, from, to, begin, end);
              long runsOfOther = runs(other, from, to, begin, end);
              cluster.record(
                  one.id + " (epoch " + a.fence + ") and " + other.id + " (epoch " + b.fence + ") both held "
                      + from + "-" + to + " for " + (end - begin) + " ms; began " + runsOfOne + " and " + runsOfOther
                      + " requests on them meanwhile");
              if (end - begin > MAX_OVERLAP_MILLIS || runsOfOne > 0 && runsOfOther > 0) {
                cluster.record("OWNER: two backends held the same keys");
                held = false;
              }
            }
          }
        }
      }
    }
    return held;
  }

  private static long runs(KeyedBackend backend, int from, int to, long begin, long end) {
    return backend.runs().stream()
        .filter(r -> from <= r.key() && r.key() <= to && begin <= r.atMillis() && r.atMillis() < end)
        .count();
  }
}
