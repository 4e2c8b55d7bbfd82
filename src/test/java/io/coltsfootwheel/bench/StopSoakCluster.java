package io.coltsfootwheel.bench;

import io.coltsfootwheel.platform.PlatformMain;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Control and entry processes of the platform's main class on loopback addresses. */
final class StopSoakCluster implements AutoCloseable {
  static final int CONTROL_COUNT = 3;
  static final int ENTRY_COUNT = 4;
  static final long GRACE_MILLIS = 6_000;
  static final String SERVICE = "soak";

  private static final int LINK_PORT = freePort();
  private static final int CONTROL_PORT = freePort();
  private static final int CLIENT_PORT = freePort();
  private static final int READINESS_PORT = freePort();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
  private static final int START_TIMEOUT_SECONDS = 40;

  private final Path folder;
  private final ProcessGroup processes;
  private final Map<String, Integer> startCounts = new ConcurrentHashMap<>();

  /** Loopback network of this run; the processes' metrics port is the same in all runs. */
  private final String network = "127." + (64 + ProcessHandle.current().pid() % 128) + ".0.";

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .followRedirects(HttpClient.Redirect.ALWAYS)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  StopSoakCluster(Path folder) {
    this.folder = folder;
    this.processes = new ProcessGroup(folder);
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String control(int index) {
    return "control-" + index;
  }

  static String entry(int index) {
    return "entry-" + index;
  }

  Set<String> names() {
    return startCounts.keySet();
  }

  ProcessGroup processes() {
    return processes;
  }

  InetSocketAddress clientAddress(int entry) {
    return new InetSocketAddress(host(entry(entry)), CLIENT_PORT);
  }

  String targetHost() {
    return network + 100;
  }

  private String host(String name) {
    int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
    return network + ((name.startsWith("control") ? 10 : 20) + index);
  }

  /** Returns whether the last start of a process has installed its signal handlers. */
  boolean hasStarted(String name) {
    try (Stream<String> lines = Files.lines(processes.logFile(name))) {
      long startedCount = lines.filter(l -> l.contains("\"process.started\"")).count();
      return startedCount == startCounts.getOrDefault(name, 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void start(String name, boolean bootstrap) {
    startCounts.merge(name, 1, Integer::sum);
    writeSettings(name, bootstrap, new Random(0));
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    processes.start(
        name,
        Map.of("COLTSFOOTWHEEL_NODE_FILE", settingsFile(name).toString()),
        List.of(
            java,
            "-Xmx64m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Dio.netty.transport.noNative=true",
            "-Dreactor.netty.native=false",
            "-cp",
            System.getProperty("java.class.path"),
            PlatformMain.class.getName(),
            name.substring(0, name.indexOf('-'))));
  }

  private Path settingsFile(String name) {
    return folder.resolve(name + ".toml");
  }

  /** Writes the settings file with the seeds in random order. */
  void writeSettings(String name, boolean bootstrap, Random random) {
    List<String> seeds = new ArrayList<>();
    IntStream.range(0, CONTROL_COUNT)
        .forEach(i -> seeds.add("\"" + host(control(i)) + ":" + CONTROL_PORT + "\""));
    Collections.shuffle(seeds, random);
    String host = host(name);
    String text =
        """
        nodeName = "%s"
        ip = "%s"
        zone = "z"
        internalPortRange = [%d, %d]
        seeds = [%s]
        bootstrap = %b
        dataDir = "%s"
        heartbeatIntervalMs = 300
        bounds = ["graceS=%d"]
        [listenAddrs]
        front = "%s:%d"
        ready = "%s:%d"
        control = "%s:%d"
        [faultTolerance]
        machines = 1
        """
            .formatted(
                name,
                host,
                LINK_PORT,
                LINK_PORT + 1,
                String.join(",", seeds.subList(0, 1 + random.nextInt(CONTROL_COUNT))),
                bootstrap,
                folder.resolve(name + ".data"),
                GRACE_MILLIS / 1_000,
                host,
                CLIENT_PORT,
                host,
                READINESS_PORT,
                host,
                CONTROL_PORT);
    try {
      Path next = folder.resolve(name + ".toml.next");
      Files.writeString(next, text);
      Files.move(
          next,
          settingsFile(name),
          StandardCopyOption.REPLACE_EXISTING,
          StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Calls a control process and returns the status, or 0 without a response. */
  int call(int control, String query, String ifMatch, String body) throws InterruptedException {
    URI uri =
        URI.create("http://" + host(control(control)) + ":" + CONTROL_PORT + "/api/rpc" + query);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("If-Match", ifMatch)
            .timeout(CALL_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Calls control processes in turn until one answers with 200. */
  void callUntilAccepted(String query, String ifMatch, String body) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    int control = 0;
    while (call(control, query, ifMatch, body) != 200) {
      if (System.nanoTime() - endNanos > 0) {
        throw new IllegalStateException("call " + query + " was not accepted");
      }
      control = (control + 1) % CONTROL_COUNT;
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  boolean isReady(int entry) throws InterruptedException {
    URI uri = URI.create("http://" + host(entry(entry)) + ":" + READINESS_PORT + "/api/readyz");
    HttpRequest request = HttpRequest.newBuilder(uri).timeout(CALL_TIMEOUT).build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void awaitReady(int entry) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    while (!isReady(entry)) {
      if (System.nanoTime() - endNanos > 0) {
        throw new IllegalStateException(entry(entry) + " is not ready");
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  /** Returns a complete configuration; its limits and timeouts depend on the version. */
  static String configuration(long version) {
    return """
        {"version":"r%1$d","resources":[%2$s,%3$s,
        {"resourceType":"services","metadata":{"name":"%4$s"},"spec":{"healthPath":"/healthz",
        "maxConnections":200,"protocol":"h1","tls":false,"sharded":false}},
        {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
        "maxBodyBytes":8388608,"headerTimeoutMs":5000,"idleTimeoutMs":%5$d}}]}
        """
        .formatted(
            version,
            route("safe", 8_000 + version),
            route("unsafe", 8_000 + version),
            SERVICE,
            10_000 + version % 7 * 1_000);
  }

  private static String route(String kind, long timeoutMillis) {
    return """
        {"resourceType":"routes","metadata":{"name":"%1$s"},"spec":{"hostname":"soak.example",
        "pathPrefix":"/%1$s/","kind":"%1$s","timeoutMs":%2$d,"targetLatencyMs":3000,"priority":1,
        "service":"%3$s","maxAttempts":2}}\
        """
        .formatted(kind, timeoutMillis, SERVICE);
  }

  @Override
  public void close() {
    processes.close();
  }
}
