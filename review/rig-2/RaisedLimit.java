import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;

/**
 * Case 9. Clients post on connections that they keep open. With the disruption, the operator raises
 * maxBodyBytes meanwhile; later the clients send bodies that the new configuration allows.
 */
final class RaisedLimit {
  static final int ENTRIES = 2;
  static final int CLIENTS = 20;
  static final int BACKENDS = 4;
  static final String FULL_LIMIT = "67108864";
  static final String LOW_LIMIT = "4096";
  static final int SMALL_BYTES = 1_200;

  /** The largest body of the small site's posts is 7,200 bytes. */
  static final int LARGE_BYTES = 7_200;

  static final int CONFIG_APPLY_MILLIS = 2_000;
  static final int PAUSE_MILLIS = 200;
  static final int LARGE_POSTS = 5;

  private static Rig rig;
  private static volatile boolean sendsLarge;
  private static final List<String> seen = Collections.synchronizedList(new ArrayList<>());
  private static int sentLarge;
  private static int denied;

  private RaisedLimit() {}

  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Rig r = new Rig(Path.of(args[0]), 5, ENTRIES)) {
      rig = r;
      Downloads.rig = r;
      exit = run(trouble);
      rig.say("exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int put(String text, String base) {
    int status =
        rig.control("call=config.put", Map.of("If-Match", base), text.getBytes(), 1500, 0, 8_000)
            .status();
    rig.say("change on " + base + " answered " + status);
    return status;
  }

  private static int run(boolean trouble) throws Exception {
    rig.startAll();
    String full = Configurations.downloadsAndPosts(1_000);
    String first = trouble ? full.replace(FULL_LIMIT, LOW_LIMIT) : full;
    boolean isUp = rig.awaitControl(20_000) && put(first, "0") == 200;
    for (int i = 0; i < BACKENDS; i++) {
      Downloads.backend("i-7f3a91c" + i, "127." + rig.net + ".3." + (10 + i));
    }
    for (Rig.Node edge : rig.edges()) {
      isUp &= rig.awaitReady(edge, 10_000);
    }
    if (!isUp) {
      rig.say("the system did not start");
      return 2;
    }
    Rig.sleep(3_000);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Rig.Node edge = rig.edge(i % ENTRIES);
      Thread client = new Thread(() -> client(edge));
      clients.add(client);
      client.start();
    }
    Rig.sleep(2_000);
    if (trouble && put(full.replace("\"r2\"", "\"r4\""), "r2") != 200) {
      return 2;
    }
    Rig.sleep(CONFIG_APPLY_MILLIS + 1_000);
    rig.say("from now on the clients send bodies of " + LARGE_BYTES + " bytes");
    sendsLarge = true;
    for (Thread client : clients) {
      client.join();
    }
    seen.forEach(rig::say);
    rig.say(sentLarge + " requests with " + LARGE_BYTES + " bytes, " + denied
        + " ended with a 4xx of the entry");
    return denied > 5 + sentLarge / 500.0 ? 1 : 0;
  }

  private static synchronized void count(boolean isDenied) {
    sentLarge++;
    denied += isDenied ? 1 : 0;
  }

  /** Posts on a kept connection, and on a new one after that has been closed. */
  private static void client(Rig.Node edge) {
    int large = 0;
    while (large < LARGE_POSTS) {
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress(edge.ip, rig.frontPort), 1000);
        s.setSoTimeout(3000);
        InputStream in = new BufferedInputStream(s.getInputStream());
        boolean isOpen = true;
        while (isOpen && large < LARGE_POSTS) {
          boolean isLarge = sendsLarge;
          large += isLarge ? 1 : 0;
          isOpen = post(s, in, edge, isLarge ? LARGE_BYTES : SMALL_BYTES);
          Rig.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        seen.add("connection to " + edge.name + ": " + e.getMessage());
        Rig.sleep(PAUSE_MILLIS);
      }
    }
  }

  private static boolean post(Socket s, InputStream in, Rig.Node edge, int bytes)
      throws IOException {
    String id = Long.toHexString(Downloads.ids.incrementAndGet());
    String prefix = Downloads.PREFIX;
    double sent = rig.seconds();
    s.getOutputStream()
        .write(
            ("POST /pufi791/" + id + " HTTP/1.1\r\nHost: ficu95.example\r\n" + prefix
                    + "Request-Id: " + id + "\r\n" + prefix + "Request-Deadline-Ms: 1000\r\n"
                    + "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes))
                .getBytes());
    Rig.Answer a = Rig.readAnswer(in, "POST");
    boolean isOwn = !a.headers().containsKey(prefix + "Response-Signature");
    boolean isDenied = isOwn && a.status() / 100 == 4 && a.status() != 429 && a.status() != 408;
    if (bytes == LARGE_BYTES) {
      count(isDenied);
      seen.add("sent %.3f to %s %s %d bytes: status %d, %s".formatted(sent, edge.name, id, bytes,
          a.status(), Downloads.run.contains(id) ? "run" : "not run"));
    }
    return !"close".equalsIgnoreCase(a.headers().get("Connection"));
  }
}
