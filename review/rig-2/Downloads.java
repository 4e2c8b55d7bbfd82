import java.io.*;
import java.net.*;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Case 8. Clients download large exports, which sound backends stream as they produce them, while other
 * clients post small requests. With the disruption, most entries are killed at the same moment and
 * their clients turn to the others.
 */
final class Downloads {
  static final String PREFIX = "X-Coltsfootwheel-";
  static final int ENTRIES = 5;
  static final int DOWNLOADS_PER_ENTRY = 14;
  static final int POSTS_PER_ENTRY = 4;

  /** The bench kills a share of 0.6 for 2 s (herd_kill). */
  static final int KILLED = 3;

  static final int DOWN_MILLIS = 2_000;
  static final int EXPORT_BYTES = 540_000;

  /** An export is a series of blocks, each of which some rows follow. */
  static final int BLOCK_BYTES = 64 * 1024;

  static final int ROWS = 8;
  static final int ROW_PAUSE_MILLIS = 2;

  static final int TIMEOUT_MILLIS = 1_000;
  static final int SLACK_MILLIS = 500;

  /** The rule names no least count; fewer late requests than this are no finding. */
  static final int FEWEST_LATE = 8;

  static final int BACKENDS = 10;
  static final Set<String> run = ConcurrentHashMap.newKeySet();
  static final AtomicLong ids = new AtomicLong(System.nanoTime() & 0xffffffffL);
  static final List<Sample> samples = Collections.synchronizedList(new ArrayList<>());
  static Rig rig;
  static volatile boolean stop;

  /** What a client saw of one request. */
  record Sample(
      String edge, String kind, String id, double sentSeconds, long millis, int status, String end) {}

  /** Entries that the platform gives new connections; the others miss its readiness checks. */
  static volatile List<Rig.Node> inRotation = List.of();

  interface Task {
    void run() throws Exception;
  }

  static void thread(Task task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer closed.
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    t.setDaemon(true);
    t.start();
  }

  static void backend(String id, String ip) throws IOException {
    ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName(ip));
    thread(
        () -> {
          while (true) {
            Socket s = server.accept();
            thread(() -> serve(s));
          }
        });
    thread(
        () -> {
          long born = System.currentTimeMillis();
          for (long sequence = 1; !stop; sequence++) {
            String body =
                "{\"address\":\"" + ip + ":" + server.getLocalPort() + "\",\"born\":" + born
                    + ",\"info\":{\"service\":\"wuno96b\",\"version\":\"v1\",\"zone\":\"plateau\","
                    + "\"capacity\":8},\"status\":{\"phase\":\"ready\",\"sequence\":" + sequence
                    + ",\"warmupLeftMs\":0}}";
            rig.control("call=instances.heartbeat&of=" + id, Map.of(), body.getBytes(), 1000, 0,
                2000);
            Rig.sleep(Rig.HEARTBEAT_MILLIS);
          }
        });
  }

  /** Answers a post at once, and streams an export in blocks and rows as they are produced. */
  static void serve(Socket s) throws IOException {
    s.setTcpNoDelay(true);
    InputStream in = new BufferedInputStream(s.getInputStream());
    OutputStream out = s.getOutputStream();
    Random random = new Random();
    byte[] block = new byte[BLOCK_BYTES];
    try (s) {
      while (true) {
        String line = Rig.line(in);
        Map<String, String> h = Rig.headers(in);
        Rig.body(in, h);
        run.add(h.get(PREFIX + "Request-Id"));
        boolean isExport = line.startsWith("GET ");
        int length = isExport ? EXPORT_BYTES : 400;
        out.write(
            ("HTTP/1.1 200 OK\r\n" + PREFIX + "Request-Id: " + h.get(PREFIX + "Request-Id") + "\r\n"
                    + PREFIX + "Response-Signature: s1\r\nContent-Length: " + length + "\r\n\r\n")
                .getBytes());
        int left = length;
        while (left > 0) {
          int bytes = Math.min(left, BLOCK_BYTES);
          out.write(block, 0, bytes);
          out.flush();
          left -= bytes;
          for (int row = 0; row < ROWS && left > 0; row++) {
            Rig.sleep(ROW_PAUSE_MILLIS);
            bytes = Math.min(left, 200 + random.nextInt(400));
            out.write(block, 0, bytes);
            out.flush();
            left -= bytes;
          }
        }
      }
    }
  }

  /** Asks each entry once a second whether it is ready; two misses take it out. */
  static void watchReadiness() {
    Map<Rig.Node, Integer> misses = new HashMap<>();
    while (!stop) {
      List<Rig.Node> ready = new ArrayList<>();
      for (Rig.Node edge : rig.edges()) {
        boolean isReady =
            Rig.call(edge.ip, rig.readyPort, "GET", "/api/readyz", Map.of(), new byte[0], 1000)
                    .status() == 200;
        misses.merge(edge, 1, (before, one) -> isReady ? 0 : before + one);
        if (isReady || misses.get(edge) < 2) {
          ready.add(edge);
        }
      }
      inRotation = ready;
      Rig.sleep(1_000);
    }
  }

  /** Sends requests on a kept connection; after a failure, turns to another entry. */
  static void client(int number, boolean isExport) throws InterruptedException {
    int turn = number;
    Rig.Node edge = rig.edge(number % ENTRIES);
    while (!stop) {
      long sent = System.nanoTime();
      String id = "";
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress(edge.ip, rig.frontPort), 1000);
        s.setSoTimeout(TIMEOUT_MILLIS + 3 * SLACK_MILLIS);
        s.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(s.getInputStream(), 65536);
        while (!stop) {
          id = Long.toHexString(ids.incrementAndGet());
          String body = isExport ? "" : "x".repeat(1200);
          String request =
              (isExport ? "GET /lohu930/" : "POST /pufi791/") + id + " HTTP/1.1\r\n"
                  + "Host: ficu95.example\r\n" + PREFIX + "Request-Id: " + id + "\r\n" + PREFIX
                  + "Request-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\n"
                  + (isExport ? "" : "Content-Length: 1200\r\n") + "\r\n" + body;
          sent = System.nanoTime();
          s.getOutputStream().write(request.getBytes());
          Rig.Answer a = Rig.readAnswer(in, "GET");
          add(edge, isExport, id, sent, a.status(), "");
          if ("close".equalsIgnoreCase(a.headers().get("Connection"))) {
            break;
          }
          Thread.sleep(isExport ? 30 : 40);
        }
      } catch (IOException e) {
        if (!id.isEmpty()) {
          add(edge, isExport, id, sent, 0, String.valueOf(e.getMessage()));
        }
        Thread.sleep(100);
        List<Rig.Node> others = inRotation;
        edge = others.isEmpty() ? edge : others.get(Math.floorMod(++turn, others.size()));
      }
    }
  }

  static void add(
      Rig.Node edge, boolean isExport, String id, long sentNanos, int status, String end) {
    samples.add(
        new Sample(edge.name, isExport ? "export" : "post", id,
            (sentNanos - rig.startNanos) / 1e9, (System.nanoTime() - sentNanos) / 1_000_000,
            status, end));
  }

  public static void main(String[] args) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Rig r = new Rig(Path.of(args[0]), 5, ENTRIES)) {
      rig = r;
      exit = run(trouble);
      rig.say("exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int run(boolean trouble) throws IOException {
    rig.startAll();
    boolean isUp =
        rig.awaitControl(20_000)
            && rig.control("call=config.put", Map.of("If-Match", "0"),
                    Configurations.downloadsAndPosts(TIMEOUT_MILLIS).getBytes(), 1500, 0, 8_000)
                .status() == 200;
    for (int i = 0; i < BACKENDS; i++) {
      backend("i-7f3a91c" + i, "127." + rig.net + ".3." + (10 + i));
    }
    for (Rig.Node edge : rig.edges()) {
      isUp &= rig.awaitReady(edge, 10_000);
    }
    if (!isUp) {
      rig.say("the system did not start");
      return 2;
    }
    Rig.sleep(3_000);
    thread(Downloads::watchReadiness);
    for (int i = 0; i < ENTRIES * (DOWNLOADS_PER_ENTRY + POSTS_PER_ENTRY); i++) {
      int number = i;
      thread(() -> client(number, number < ENTRIES * DOWNLOADS_PER_ENTRY));
    }
    rig.say(DOWNLOADS_PER_ENTRY + " clients download and " + POSTS_PER_ENTRY
        + " post at each of " + ENTRIES + " entries");
    Rig.sleep(6_000);
    if (trouble) {
      List<Rig.Node> killed = rig.edges().subList(0, KILLED);
      killed.forEach(Rig.Node::kill);
      Rig.sleep(DOWN_MILLIS);
      killed.forEach(Rig.Node::restart);
    } else {
      Rig.sleep(DOWN_MILLIS);
    }
    Rig.sleep(10_000 - DOWN_MILLIS);
    stop = true;
    Rig.sleep(TIMEOUT_MILLIS + 4L * SLACK_MILLIS);
    return judge();
  }

  /** Judges the requests to the entries that no kill has touched. */
  private static int judge() {
    Set<String> untouched = new TreeSet<>();
    rig.edges().subList(KILLED, ENTRIES).forEach(e -> untouched.add(e.name));
    List<Sample> all;
    synchronized (samples) {
      all = new ArrayList<>(samples);
    }
    all.sort(Comparator.comparingDouble(Sample::sentSeconds));
    rig.say("sent, answered (or ended) and what was seen, for requests without status 200 or"
        + " longer than timeoutMs");
    all.stream()
        .filter(s -> s.status != 200 || s.millis > TIMEOUT_MILLIS)
        .forEach(s -> rig.say("sent %.3f to %s %s %s: after %d ms %s, %s".formatted(
            s.sentSeconds, s.edge, s.kind, s.id, s.millis,
            s.status > 0 ? "status " + s.status : s.end,
            run.contains(s.id) ? "run" : "not run")));
    all.removeIf(s -> !untouched.contains(s.edge));
    Map<Long, int[]> bySecond = new TreeMap<>();
    for (Sample s : all) {
      int[] counts = bySecond.computeIfAbsent((long) s.sentSeconds, k -> new int[3]);
      counts[0]++;
      counts[1] += s.millis > TIMEOUT_MILLIS ? 1 : 0;
      counts[2] += s.millis > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
    }
    bySecond.forEach((second, counts) -> rig.say("sent in second " + second + " to " + untouched
        + ": " + counts[0] + ", unanswered at timeoutMs " + counts[1]
        + ", also half a second later " + counts[2]));
    long unanswered = bySecond.values().stream().mapToLong(c -> c[1]).sum();
    long late = bySecond.values().stream().mapToLong(c -> c[2]).sum();
    rig.say(all.size() + " requests to entries that were not killed; " + unanswered
        + " unanswered at timeoutMs, " + late + " of these half a second later");
    rig.nodes.values().forEach(n -> rig.say(n.name + " ended by itself: " + n.ends));
    return late >= FEWEST_LATE && late * 2 > unanswered ? 1 : 0;
  }
}
