package review;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** The operator sends changes of which a part cannot be read: fields of another type. */
public final class UnreadableConfig {
  /** The bound configApplyMs and a second. */
  private static final long APPLY_MILLIS = 3_000;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cluster cluster = new Cluster(Path.of(arguments[0]), 3)) {
      System.exit(run(cluster, trouble));
    }
  }

  private static int run(Cluster cluster, boolean trouble) throws Exception {
    cluster.startControls();
    cluster.startEntry(0);
    String first = StrayReport.config();
    if (cluster.order("call=config.put", "0", first, 30_000).status() != 200) {
      return 2;
    }
    KeyedBackend backend = new KeyedBackend(cluster, "i-0", cluster.prefix + 100);
    backend.start();
    if (!cluster.awaitReady(0, 30_000)) {
      return 2;
    }
    Thread.sleep(5_000);
    if (!ask(cluster, "before").startsWith("HTTP/1.1 200")) {
      return 2;
    }
    String removal = trouble ? "{\"routes\":\"r-k\"}" : "{\"routes\":[\"r-k\"]}";
    String patch = "{\"version\":\"r3\",\"remove\":" + removal + "}";
    cluster.record("patch: " + patch);
    Cluster.Reply patched = cluster.order("call=config.patch", "r1", patch, 10_000);
    Thread.sleep(APPLY_MILLIS);
    String answer = ask(cluster, "after");
    boolean isServed = answer.startsWith("HTTP/1.1 200");
    if (!trouble) {
      return patched.status() == 200 && answer.startsWith("HTTP/1.1 404") ? 0 : 2;
    }
    boolean broken = false;
    if (patched.status() == 200) {
      cluster.record("CONFIG: a change that cannot be read in full was acknowledged; its route is "
          + (isServed ? "still served" : "not served"));
      broken = true;
    }
    String base = patched.status() == 200 ? "r3" : "r1";
    String put = first.replace("\"r1\"", "\"r5\"").replace("\"sharded\":true", "\"sharded\":\"yes\"");
    cluster.record("put with \"sharded\":\"yes\"");
    if (cluster.order("call=config.put", base, put, 10_000).status() == 200) {
      cluster.record("CONFIG: a config that cannot be read in full was acknowledged");
      Thread.sleep(APPLY_MILLIS);
      ask(cluster, "keyed");
      broken = true;
    }
    return broken ? 1 : 0;
  }

  private static String ask(Cluster cluster, String id) throws Exception {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(cluster.entry(0), Cluster.FRONT_PORT), 1_000);
      socket.setSoTimeout(3_000);
      OutputStream out = socket.getOutputStream();
      String head =
          "GET /k/x HTTP/1.1\r\nHost: keyed.example\r\nX-Coltsfootwheel-Request-Id: " + id
              + "\r\nX-Coltsfootwheel-Request-Deadline-Ms: 1000\r\nX-Coltsfootwheel-Shard-Key: 7\r\n"
              + "Connection: close\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      String answer = new String(Cluster.readAll(socket.getInputStream()), StandardCharsets.ISO_8859_1);
      cluster.record("request " + id + ": " + answer.split("\r\n")[0]);
      return answer;
    }
  }
}
