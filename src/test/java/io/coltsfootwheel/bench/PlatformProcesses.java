package io.coltsfootwheel.bench;

import io.coltsfootwheel.platform.PlatformMain;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Processes of the platform's main class whose start and end a test examines. They have loopback
 * addresses of their own, because all processes of the platform use the same ports.
 */
final class PlatformProcesses implements AutoCloseable {
  static final int CLIENT_PORT = 8_144;
  static final int READINESS_PORT = 8_140;
  static final int CONTROL_PORT = 8_146;
  static final int MEMBER_PORT = 7_660;
  static final int ENTRY_PORT = 7_661;
  static final int METRICS_PORT = 9_464;

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
  private static final long POLL_MILLIS = 50;

  private final Path folder;
  private final String network = "127." + (64 + ProcessHandle.current().pid() % 128) + ".1.";
  private final List<Process> processes = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .followRedirects(HttpClient.Redirect.ALWAYS)
          .build();

  PlatformProcesses(Path folder) {
    this.folder = folder;
  }

  String host(int number) {
    return network + number;
  }

  File logFile(int number) {
    return folder.resolve(number + ".log").toFile();
  }

  String log(int number) throws IOException {
    return Files.readString(logFile(number).toPath());
  }

  /** Writes the settings of a process; the control processes given are its seeds. */
  Path writeSettings(int number, int... controlNumbers) throws IOException {
    List<String> seeds = new ArrayList<>();
    for (int control : controlNumbers) {
      seeds.add("\"" + host(control) + ":" + CONTROL_PORT + "\"");
    }
    String text =
        """
        nodeName = "process-%1$d"
        ip = "%2$s"
        zone = "z"
        internalPortRange = [%3$d, 7675]
        seeds = [%4$s]
        bootstrap = true
        dataDir = "%5$s"
        heartbeatIntervalMs = 300
        bounds = ["graceS=6"]
        [listenAddrs]
        front = "%2$s:%6$d"
        ready = "%2$s:%7$d"
        control = "%2$s:%8$d"
        [faultTolerance]
        machines = 0
        """
            .formatted(
                number,
                host(number),
                MEMBER_PORT,
                String.join(",", seeds),
                folder.resolve(number + ".data"),
                CLIENT_PORT,
                READINESS_PORT,
                CONTROL_PORT);
    return Files.writeString(folder.resolve(number + ".toml"), text);
  }

  /** Starts a process; without a settings file, its environment names none. */
  Process start(Optional<Path> settingsFile, ProcessBuilder.Redirect output, String... arguments)
      throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dlog4j2.loggerContextFactory=org.apache.logging.log4j.simple.SimpleLoggerContextFactory",
                "-Dorg.apache.logging.log4j.simplelog.level=INFO",
                "-Dorg.apache.logging.log4j.simplelog.logFile=System.out",
                "-Dio.netty.transport.noNative=true",
                "-Dreactor.netty.native=false",
                "-cp",
                System.getProperty("java.class.path"),
                PlatformMain.class.getName()));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output);
    builder.environment().remove("COLTSFOOTWHEEL_NODE_FILE");
    settingsFile.ifPresent(
        f -> builder.environment().put("COLTSFOOTWHEEL_NODE_FILE", f.toString()));
    Process process = builder.start();
    processes.add(process);
    return process;
  }

  /** Returns the status of a call, or 0 without a response. */
  int call(int number, int port, String pathAndQuery, String body) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + host(number) + ":" + port + pathAndQuery))
            .timeout(CALL_TIMEOUT)
            .header("If-Match", "0")
            .method(body.isEmpty() ? "GET" : "POST", HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Repeats a call until it has a status; the time limit of the test bounds the wait. */
  void awaitStatus(int status, int number, int port, String pathAndQuery, String body)
      throws InterruptedException {
    while (call(number, port, pathAndQuery, body) != status) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  /** Waits until the log of a process contains a text. */
  void awaitLog(int number, String text) throws IOException, InterruptedException {
    while (!logFile(number).exists() || !log(number).contains(text)) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
    processes.forEach(p -> p.onExit().join());
  }
}
