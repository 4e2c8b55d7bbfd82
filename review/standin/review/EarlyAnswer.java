package review;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A backend crashes in the middle of an early answer without a length. */
public final class EarlyAnswer {
  private static final int BODY_BYTES = 8 * 1024 * 1024;
  private static final int BACKEND_PORT = 8080;

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cluster cluster = new Cluster(Path.of(arguments[0]), 3)) {
      System.exit(run(cluster, trouble));
    }
  }

  private static int run(Cluster cluster, boolean trouble) throws Exception {
    cluster.startControls();
    cluster.startEntry(0);
    String config =
        "{\"version\":\"r1\",\"resources\":["
            + "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"r-up\"},\"spec\":{\"hostname\":\"up.example\","
            + "\"pathPrefix\":\"/up/\",\"kind\":\"unsafe\",\"timeoutMs\":10000,\"targetLatencyMs\":5000,"
            + "\"priority\":0,\"service\":\"upload\",\"maxAttempts\":1}},"
            + "{\"resourceType\":\"services\",\"metadata\":{\"name\":\"upload\"},\"spec\":{\"healthPath\":\"/healthz\","
            + "\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false}},"
            + "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}]}";
    if (cluster.order("call=config.put", "0", config, 30_000).status() != 200) {
      return 2;
    }
    String ip = cluster.prefix + "100";
    Process backend =
        cluster.started(
            new ProcessBuilder(
                    "java", "-Xmx64m", "-XX:+UseSerialGC", "-cp", "target/review", "review.EarlyBackend",
                    ip, Integer.toString(BACKEND_PORT), trouble ? "crash" : "finish")
                .redirectErrorStream(true)
                .start(),
            "backend at " + ip);
    BufferedReader output = new BufferedReader(new InputStreamReader(backend.getInputStream()));
    output.readLine();
    Thread beats = new Thread(() -> beat(cluster, ip, backend));
    beats.setDaemon(true);
    beats.start();
    if (!cluster.awaitReady(0, 30_000)) {
      return 2;
    }
    Thread.sleep(2_000);
    Thread reader =
        new Thread(
            () -> {
              try {
                for (String line = output.readLine(); line != null; line = output.readLine()) {
                  cluster.record("backend: " + line);
                  if (trouble && line.equals("HALF")) {
                    Thread.sleep(700);
                    cluster.record("SIGKILL to the backend");
                    backend.destroyForcibly();
                  }
                }
              } catch (Exception e) {
                // The process has ended.
              }
            });
    reader.setDaemon(true);
    reader.start();
    return send(cluster);
  }

  private static void beat(Cluster cluster, String ip, Process backend) {
    long born = System.currentTimeMillis();
    for (int sequence = 1; backend.isAlive(); sequence++) {
      String body =
          "{\"born\":" + born + ",\"address\":\"" + ip + ":" + BACKEND_PORT + "\",\"info\":{\"service\":\"upload\","
              + "\"version\":\"v1\",\"zone\":\"plateau\",\"capacity\":2},\"status\":{\"phase\":\"ready\","
              + "\"sequence\":" + sequence + ",\"warmupLeftMs\":0},\"holds\":[],\"released\":[]}";
      cluster.call(
          cluster.controls.get(sequence % 3), "call=instances.heartbeat&of=i-up", null, body, 1_000);
      try {
        Thread.sleep(800);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static int send(Cluster cluster) throws Exception {
    for (int attempt = 0; attempt < 10; attempt++) {
      String id = "req-" + attempt;
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(cluster.entry(0), Cluster.FRONT_PORT), 1_000);
        socket.setSoTimeout(15_000);
        OutputStream out = socket.getOutputStream();
        String head =
            "POST /up/x HTTP/1.1\r\nHost: up.example\r\nX-Coltsfootwheel-Request-Id: " + id
                + "\r\nX-Coltsfootwheel-Request-Deadline-Ms: 9000\r\nContent-Length: " + BODY_BYTES
                + "\r\nConnection: close\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[BODY_BYTES]);
        out.flush();
        cluster.record("client sent " + id + " with a body of " + BODY_BYTES + " bytes");
        String answer = new String(Cluster.readAll(socket.getInputStream()), StandardCharsets.ISO_8859_1);
        int end = answer.indexOf("\r\n\r\n");
        String answerHead = end < 0 ? answer : answer.substring(0, end);
        String body = end < 0 ? "" : answer.substring(end + 4);
        cluster.record("client got " + answerHead.replace("\r\n", " | ") + " and a body of " + body.length() + " bytes");
        if (answerHead.startsWith("HTTP/1.1 503")) {
          Thread.sleep(500);
          continue;
        }
        boolean success = answerHead.startsWith("HTTP/1.1 2");
        boolean complete = EarlyBackend.header(answerHead, "Content-Length").equals(Integer.toString(body.length()));
        boolean whole = body.equals(EarlyBackend.FIRST + EarlyBackend.SECOND);
        if (success && complete && !whole) {
          cluster.record("MIXED: a success that looks complete, with " + body.length() + " of "
              + (EarlyBackend.FIRST.length() + EarlyBackend.SECOND.length()) + " bytes");
          return 1;
        }
        boolean quietOk = success && whole;
        return "0".equals(System.getenv("TROUBLE")) && !quietOk ? 2 : 0;
      }
    }
    return 2;
  }
}
