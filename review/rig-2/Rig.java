import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;

/**
 * Starts entry and control processes with the commands of the deploy file on loopback addresses,
 * with settings like those of the small sites, and ends them. Used by the scripts of review/6 to 10.
 */
final class Rig implements AutoCloseable {
  static final int HEARTBEAT_MILLIS = 870;

  final Path folder;
  final int net;
  final int controlPort;
  final int memberPort;
  final int frontPort;
  final int readyPort;
  final PrintStream record;
  final long startNanos = System.nanoTime();
  final Map<String, Node> nodes = new ConcurrentSkipListMap<>();
  private final Map<String, List<String>> commands = new HashMap<>();
  private volatile boolean closing;

  /** One machine with one process. */
  final class Node {
    final String name;
    final String ip;
    final boolean isCore;
    volatile Process process;
    volatile boolean supervised = true;
    final List<String> ends = new CopyOnWriteArrayList<>();

    Node(String name, String ip, boolean isCore) {
      this.name = name;
      this.ip = ip;
      this.isCore = isCore;
    }

    Path log() {
      return folder.resolve(name + ".log");
    }

    synchronized void start(boolean bootstrap) {
      if (closing) {
        return;
      }
      try {
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, settings(this, bootstrap));
        if (isCore) {
          Files.createDirectories(folder.resolve("data-" + name));
        }
        ProcessBuilder b = new ProcessBuilder(commands.get(isCore ? "control" : "entry"));
        Map<String, String> env = new HashMap<>();
        for (String v : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
          if (System.getenv(v) != null) {
            env.put(v, System.getenv(v));
          }
        }
        env.put("COLTSFOOTWHEEL_NODE_FILE", settings.toString());
        b.environment().clear();
        b.environment().putAll(env);
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = b.start();
        say("start " + name + " pid " + process.pid());
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Restarts a process that ended by itself after a short delay, as the platform does. */
    void watch() {
      Process p = process;
      if (!closing && supervised && p != null && !p.isAlive()) {
        ends.add("%.1f s status %d".formatted(seconds(), p.exitValue()));
        say("ended by itself: " + name + " status " + p.exitValue());
        start(false);
      }
    }

    void signal(String signal) {
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        say("signal " + signal + " to " + name);
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Kills the process and leaves it down. */
    void kill() {
      supervised = false;
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      say("killed " + name);
    }

    void restart() {
      start(false);
      supervised = true;
    }
  }

  Rig(Path recordFile, int coreCount, int entryCount) throws IOException {
    folder = Files.createTempDirectory("review-2-");
    record = new PrintStream(new FileOutputStream(recordFile.toFile()), true);
    Random random = new Random();
    net = 20 + random.nextInt(200);
    int base = 20_000 + random.nextInt(500) * 20;
    controlPort = base;
    memberPort = base + 1;
    frontPort = base + 4;
    readyPort = base + 5;
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    for (String role : List.of("entry", "control")) {
      Matcher m =
          Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
      if (!m.find()) {
        throw new IOException("role " + role + " is missing in the deploy file");
      }
      commands.put(role, List.of(m.group(1).split(" ")));
    }
    for (int i = 0; i < coreCount; i++) {
      add("core-" + i, "127." + net + ".1." + (10 + i), true);
    }
    for (int i = 0; i < entryCount; i++) {
      add("edge-" + i, "127." + net + ".2." + (10 + i), false);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  Node add(String name, String ip, boolean isCore) {
    Node node = new Node(name, ip, isCore);
    nodes.put(name, node);
    return node;
  }

  Node core(int i) {
    return nodes.get("core-" + i);
  }

  Node edge(int i) {
    return nodes.get("edge-" + i);
  }

  List<Node> cores() {
    return nodes.values().stream().filter(n -> n.isCore).toList();
  }

  List<Node> edges() {
    return nodes.values().stream().filter(n -> !n.isCore).toList();
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void say(String text) {
    record.printf(Locale.ROOT, "%7.3f %s%n", seconds(), text);
  }

  String seeds() {
    StringBuilder s = new StringBuilder();
    for (int i = 0; i < 3; i++) {
      s.append(i > 0 ? "," : "").append('"').append(core(i).ip).append(':').append(controlPort);
      s.append('"');
    }
    return s.toString();
  }

  String zone(String name) {
    return List.of("plateau", "almadies", "pikine")
        .get(Integer.parseInt(name.substring(name.lastIndexOf('-') + 1)) % 3);
  }

  private String settings(Node n, boolean bootstrap) {
    String listen =
        n.isCore
            ? "control = \"" + n.ip + ":" + controlPort + "\"\n"
            : "front = \"" + n.ip + ":" + frontPort + "\"\nready = \"" + n.ip + ":" + readyPort
                + "\"\n";
    return "nodeName = \"" + n.name + "\"\n"
        + "role = \"" + (n.isCore ? "control" : "entry") + "\"\n"
        + "machineClass = \"" + (n.isCore ? "core" : "edge") + "\"\n"
        + "serves = [\"" + (n.isCore ? "control" : "edge") + "\"]\n"
        + "ip = \"" + n.ip + "\"\n"
        + "zone = \"" + zone(n.name) + "\"\nregion = \"dakar\"\n"
        + "internalPortRange = [" + memberPort + "," + (memberPort + 2) + "]\n"
        + "seeds = [" + seeds() + "]\n"
        + "bootstrap = " + bootstrap + "\ncountsAsLoss = " + n.isCore + "\n"
        + (n.isCore ? "dataDir = \"" + folder.resolve("data-" + n.name) + "\"\n" : "")
        + "discovery = \"registration\"\nentry = \"vip\"\nheartbeatIntervalMs = "
        + HEARTBEAT_MILLIS + "\n"
        + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\"]\n"
        + "bounds = [\"seedLagS=3\",\"reuseAfterS=2\",\"contactWindowMs=3000\","
        + "\"ackTimeoutMs=4000\",\"catchUpS=4\",\"drainMs=2000\",\"graceS=6\",\"lossSlackMs=200\","
        + "\"configApplyMs=2000\",\"rollbackSlackMs=250\",\"maxStretchMs=5000\","
        + "\"retryBudgetRatio=0.2\",\"budgetWindowS=10\",\"retryBudgetSlack=60\",\"recoveryS=15\","
        + "\"maxHoldMs=10000\",\"thawSlackMs=300\"]\n"
        + "grants = \"heartbeat\"\n"
        + "[zones]\nplateau = \"dakar\"\nalmadies = \"dakar\"\npikine = \"dakar\"\n"
        + "[listenAddrs]\n" + listen
        + "[limits]\ncpuShare = 1.8\ncpuCores = 1\nmemoryMb = 430\nmaxFds = 4100\n"
        + "linkMbps = 1000.0\ndiskMb = " + (n.isCore ? 256 : 0) + "\n"
        + "[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n";
  }

  /** Starts all machines; from then on those that end by themselves are started again. */
  void startAll() {
    nodes.values().forEach(n -> n.start(true));
    Thread t =
        new Thread(
            () -> {
              while (!closing) {
                nodes.values().forEach(Node::watch);
                sleep(200);
              }
            });
    t.setDaemon(true);
    t.start();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** An HTTP answer; status 0 when there was none. */
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Sends one call on a new connection and reads its answer. */
  static Answer call(
      String ip, int port, String method, String path, Map<String, String> headers, byte[] body,
      int timeoutMillis) {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(ip, port), timeoutMillis);
      s.setSoTimeout(timeoutMillis);
      s.setTcpNoDelay(true);
      StringBuilder h = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      if (!headers.containsKey("Host")) {
        h.append("Host: ").append(ip).append("\r\n");
      }
      headers.forEach((k, v) -> h.append(k).append(": ").append(v).append("\r\n"));
      if (body.length > 0 || method.equals("POST")) {
        h.append("Content-Length: ").append(body.length).append("\r\n");
      }
      h.append("\r\n");
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      all.write(h.toString().getBytes(StandardCharsets.ISO_8859_1));
      all.write(body);
      s.getOutputStream().write(all.toByteArray());
      s.getOutputStream().flush();
      return readAnswer(new BufferedInputStream(s.getInputStream()), method);
    } catch (IOException e) {
      return new Answer(0, Map.of("error", String.valueOf(e.getMessage())), new byte[0]);
    }
  }

  static String line(InputStream in) throws IOException {
    StringBuilder b = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("closed after '" + b + "'");
      }
      if (c != '\r') {
        b.append((char) c);
      }
    }
    return b.toString();
  }

  static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String l = line(in); !l.isEmpty(); l = line(in)) {
      int colon = l.indexOf(':');
      headers.put(l.substring(0, colon), l.substring(colon + 1).trim());
    }
    return headers;
  }

  static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.containsKey("Content-Length")) {
      int length = Integer.parseInt(headers.get("Content-Length"));
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new EOFException("body ended early");
      }
      return bytes;
    }
    if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int n = Integer.parseInt(line(in).trim(), 16); n > 0;
          n = Integer.parseInt(line(in).trim(), 16)) {
        byte[] part = in.readNBytes(n);
        if (part.length < n) {
          throw new EOFException("chunk ended early");
        }
        all.write(part);
        line(in);
      }
      line(in);
      return all.toByteArray();
    }
    return new byte[0];
  }

  static Answer readAnswer(InputStream in, String method) throws IOException {
    String status = line(in);
    Map<String, String> headers = headers(in);
    byte[] body = method.equals("HEAD") ? new byte[0] : body(in, headers);
    return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body);
  }

  /** Calls control: follows two redirects, and turns to the next machine after a failure. */
  Answer control(String query, Map<String, String> headers, byte[] body, int timeoutMillis,
      int firstCore, long limitMillis) {
    long end = System.nanoTime() + limitMillis * 1_000_000;
    Answer last = new Answer(0, Map.of(), new byte[0]);
    List<Node> cores = cores();
    int i = firstCore;
    long pause = 50;
    while (System.nanoTime() < end) {
      String ip = cores.get(Math.floorMod(i++, cores.size())).ip;
      for (int hop = 0; hop < 3; hop++) {
        last = call(ip, controlPort, "POST", "/api/rpc?" + query, headers, body, timeoutMillis);
        if (last.status != 307) {
          break;
        }
        ip = URI.create(last.headers.get("Location")).getHost();
      }
      if (last.status != 0 && last.status < 500 && last.status != 408 && last.status != 429
          && last.status != 307) {
        return last;
      }
      sleep(pause);
      pause = Math.min(500, pause * 2);
    }
    return last;
  }

  /** Calls one control machine, and follows two redirects. */
  Answer controlOnce(String query, byte[] body, int core) {
    String ip = cores().get(Math.floorMod(core, cores().size())).ip;
    Answer last = new Answer(0, Map.of(), new byte[0]);
    for (int hop = 0; hop < 3; hop++) {
      last = call(ip, controlPort, "POST", "/api/rpc?" + query, Map.of(), body, 1000);
      if (last.status != 307) {
        break;
      }
      ip = URI.create(last.headers.get("Location")).getHost();
    }
    return last;
  }

  /** Waits until control answers a read. */
  boolean awaitControl(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      Answer a = control("call=config.get", Map.of(), "{}".getBytes(), 1000, 0, 1000);
      if (a.status == 200) {
        return true;
      }
      sleep(100);
    }
    return false;
  }

  boolean awaitReady(Node edge, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (call(edge.ip, readyPort, "GET", "/api/readyz", Map.of(), new byte[0], 1000).status
          == 200) {
        return true;
      }
      sleep(100);
    }
    return false;
  }

  void endAll() {
    closing = true;
    for (Node n : nodes.values()) {
      synchronized (n) {
        if (n.process != null) {
          n.process.destroyForcibly();
        }
      }
    }
    for (Node n : nodes.values()) {
      try {
        if (n.process != null) {
          n.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        // The processes are killed already.
      }
    }
  }

  @Override
  public void close() {
    endAll();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      } catch (IOException e) {
        say("the temporary folder was not removed: " + e.getMessage());
      }
    } else {
      say("kept " + folder);
    }
  }
}
