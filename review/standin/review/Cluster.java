package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Control and entry processes on loopback addresses of their own, started with the commands of the
 * deploy file. Writes what happens to record.txt of the case.
 */
final class Cluster implements AutoCloseable {
  static final int CONTROL_PORT = 8146;
  static final int FRONT_PORT = 8144;
  static final int READY_PORT = 8140;
  private static final int INTERNAL_PORT = 7660;
  private static final int FIRST_PROXIED_PORT = 20_000;

  /** A response of the control address. */
  record Reply(int status, String body) {}

  final String prefix;
  final List<String> controls = new ArrayList<>();

  /** Whether each process has an internal port of its own, so that proxies can stand between. */
  boolean usesProxies;

  private final Path repository = Path.of("").toAbsolutePath();
  private final Path folder;
  private final Path record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();
  private final int controlCount;

  Cluster(Path record, int controlCount) throws IOException {
    Random random = new Random();
    prefix = "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + ".";
    this.record = record;
    this.controlCount = controlCount;
    folder = Files.createTempDirectory("review");
    Files.writeString(record, "");
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    for (int i = 0; i < controlCount; i++) {
      controls.add(prefix + (10 + i));
    }
  }

  synchronized void record(String line) {
    try {
      String text = String.format("%8d ms  %s%n", millis(), line);
      Files.writeString(record, text, StandardOpenOption.APPEND);
      System.out.print(text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void startControls() throws IOException {
    for (int i = 0; i < controlCount; i++) {
      startControl(i, true);
    }
  }

  Process startControl(int i, boolean bootstrap) throws IOException {
    return start("control", "core-" + i, controls.get(i), bootstrap);
  }

  Process startEntry(int i) throws IOException {
    return start("entry", "edge-" + i, entry(i), true);
  }

  /**
   * Returns the first internal port of a process: the same for all, or one of its own if a proxy
   * stands between the processes.
   */
  int internalPort(String ip) {
    return usesProxies ? FIRST_PROXIED_PORT + 20 * Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1)) : INTERNAL_PORT;
  }

  String entry(int i) {
    return prefix + (50 + i);
  }

  private Process start(String role, String name, String ip, boolean bootstrap) throws IOException {
    Path data = Files.createDirectories(folder.resolve(name + "-data"));
    boolean isControl = role.equals("control");
    List<String> seeds = controls.stream().map(c -> '"' + c + ":" + CONTROL_PORT + '"').toList();
    String settings =
        "nodeName = \"" + name + "\"\nrole = \"" + role + "\"\nmachineClass = \""
            + (isControl ? "core" : "edge") + "\"\nserves = [\"" + (isControl ? "control" : "edge")
            + "\"]\nip = \"" + ip + "\"\nzone = \"plateau\"\nregion = \"dakar\"\n"
            + "internalPortRange = [" + internalPort(ip) + "," + (internalPort(ip) + 15) + "]\nseeds = [" + String.join(",", seeds.subList(0, Math.min(3, seeds.size())))
            + "]\nbootstrap = " + bootstrap + "\ncountsAsLoss = " + isControl + "\n"
            + "discovery = \"registration\"\nentry = \"vip\"\nheartbeatIntervalMs = 870\n"
            + (isControl ? "dataDir = \"" + data + "\"\n" : "")
            + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\"]\n"
            + "bounds = [\"seedLagS=3\",\"reuseAfterS=2\",\"contactWindowMs=3000\",\"ackTimeoutMs=4000\","
            + "\"catchUpS=4\",\"drainMs=2000\",\"graceS=6\",\"lossSlackMs=200\",\"configApplyMs=2000\","
            + "\"rollbackSlackMs=250\",\"maxStretchMs=5000\",\"retryBudgetRatio=0.2\",\"budgetWindowS=10\","
            + "\"retryBudgetSlack=60\",\"recoveryS=15\",\"maxHoldMs=10000\",\"thawSlackMs=300\"]\n"
            + "grants = \"heartbeat\"\n[zones]\nplateau = \"dakar\"\n[listenAddrs]\n"
            + (isControl
                ? "control = \"" + ip + ":" + CONTROL_PORT + "\"\n"
                : "front = \"" + ip + ":" + FRONT_PORT + "\"\nready = \"" + ip + ":" + READY_PORT + "\"\n")
            + "[limits]\ncpuShare = 1.0\ncpuCores = 1\nmemoryMb = 430\nmaxFds = 4100\nlinkMbps = 1000.0\n"
            + "diskMb = 256\n[faultTolerance]\nmachines = " + (controlCount - 1) / 2
            + "\nzones = 0\nregions = 0\n";
    Path file = folder.resolve(name + ".toml");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(command(role));
    builder.directory(repository.toFile());
    builder.environment().put("COLTSFOOTWHEEL_NODE_FILE", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    return started(builder.start(), name + " at " + ip);
  }

  Process started(Process process, String what) {
    synchronized (processes) {
      processes.add(process);
    }
    record("start " + what + ", pid " + process.pid());
    return process;
  }

  /** Returns the words of a role's command in the deploy file. */
  private List<String> command(String role) throws IOException {
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no role " + role);
    }
    return List.of(run.group(1).split(" "));
  }

  /** Calls one control process; follows up to two redirects. Returns empty text and 0 on failure. */
  Reply call(String control, String query, String ifMatch, String body, int timeoutMillis) {
    String url = "http://" + control + ":" + CONTROL_PORT + "/api/rpc?" + query;
    try {
      for (int redirects = 0; redirects < 3; redirects++) {
        HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
        connection.setInstanceFollowRedirects(false);
        connection.setConnectTimeout(timeoutMillis);
        connection.setReadTimeout(timeoutMillis);
        connection.setRequestMethod("POST");
        connection.setDoOutput(true);
        connection.setRequestProperty("Content-Type", "application/json");
        connection.setRequestProperty("Connection", "close");
        if (ifMatch != null) {
          connection.setRequestProperty("If-Match", ifMatch);
        }
        connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
        int status = connection.getResponseCode();
        InputStream in = status >= 400 ? connection.getErrorStream() : connection.getInputStream();
        String text = in == null ? "" : new String(in.readAllBytes(), StandardCharsets.UTF_8);
        if (status != 307) {
          return new Reply(status, text);
        }
        url = connection.getHeaderField("Location");
      }
    } catch (IOException e) {
      return new Reply(0, e.toString());
    }
    return new Reply(307, "");
  }

  /** Sends an order to one control process after the other until it gets a clear answer. */
  Reply order(String query, String ifMatch, String body, long withinMillis) throws InterruptedException {
    long end = millis() + withinMillis;
    for (int i = 0; millis() < end; i++) {
      Reply reply = call(controls.get(i % controls.size()), query, ifMatch, body, 1_000);
      if (reply.status() == 200 || reply.status() == 400 || reply.status() == 409 || reply.status() == 412) {
        record("order " + query + " on " + ifMatch + ": " + reply.status() + " " + brief(reply.body()));
        return reply;
      }
      Thread.sleep(100);
    }
    record("order " + query + " on " + ifMatch + ": no clear answer");
    return new Reply(0, "");
  }

  static String brief(String text) {
    return text.length() > 160 ? text.substring(0, 160) + "..." : text;
  }

  boolean awaitReady(int entry, long withinMillis) throws InterruptedException {
    long end = millis() + withinMillis;
    while (millis() < end) {
      try {
        HttpURLConnection c =
            (HttpURLConnection) new URL("http://" + entry(entry) + ":" + READY_PORT + "/api/readyz").openConnection();
        c.setConnectTimeout(500);
        c.setReadTimeout(500);
        if (c.getResponseCode() == 200) {
          record("edge-" + entry + " is ready");
          return true;
        }
      } catch (IOException e) {
        // Not ready yet.
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Copies the last lines of a process's log to the record. */
  void recordLog(String name, String word, int lines) throws IOException {
    List<String> found =
        Files.readAllLines(folder.resolve(name + ".log")).stream().filter(l -> l.contains(word)).toList();
    found.subList(Math.max(0, found.size() - lines), found.size())
        .forEach(l -> record("log of " + name + ": " + (l.length() > 400 ? l.substring(0, 400) : l)));
  }

  static byte[] readAll(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      in.transferTo(out);
    } catch (IOException e) {
      out.write(("\n[" + e.getMessage() + "]").getBytes(StandardCharsets.UTF_8));
    }
    return out.toByteArray();
  }

  private void end() {
    synchronized (processes) {
      processes.forEach(Process::destroyForcibly);
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      } catch (IOException e) {
        // The folder is temporary.
      }
    }
  }

  @Override
  public void close() {
    end();
  }
}
