package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.daemon.Main;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Runs daemons on loopback and targets of one keyed service, for measurements. */
final class MeasurementFleet implements AutoCloseable {
  static final String SERVICE = "ledger";

  private static final String TOKEN = "measurement-operator-token-0123456789";
  private static final long READY_TIMEOUT_NANOS = 35_000_000_000L;
  private static final int MAX_STATUS_CHARS = 600;
  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final int PORTS_PER_DAEMON = 3;
  private static final int TARGETS_PER_PROCESS = 32;

  private final Path folder;
  private final int daemonCount;
  private final int controlMemberCount;
  private final int firstPort;
  private final int targetCount;
  private final List<ChildProcess> processes = new ArrayList<>();
  private String classPath = System.getProperty("java.class.path");
  private String lastStatus = "";
  private final HttpClient http = HttpClient.newHttpClient();
  private final ObjectMapper mapper = new ObjectMapper();

  /** Ports, from the first one: link, HTTP and operator port of each daemon, then the targets. */
  MeasurementFleet(
      Path folder, int daemonCount, int controlMemberCount, int targetCount, int firstPort) {
    this.folder = folder;
    this.daemonCount = daemonCount;
    this.controlMemberCount = controlMemberCount;
    this.targetCount = targetCount;
    this.firstPort = firstPort;
  }

  /** Makes the daemons load classes from this folder first, such as those of an earlier commit. */
  void preferClassesFrom(String classFolder) {
    classPath = classFolder + File.pathSeparator + classPath;
  }

  /** Starts the processes; waits until each target has a dispatcher and each hash slot an owner. */
  void start(int slots) throws IOException, InterruptedException {
    Files.createDirectories(folder);
    writeSecret("shared.key", "measurement-shared-key-0123456789abcdef");
    writeSecret("operator.token", TOKEN);
    for (int i = 0; i < daemonCount; i++) {
      Path settingsFile =
          Files.writeString(folder.resolve("daemon-" + i + ".toml"), settingsToml(i));
      Path logFile = folder.resolve("daemon-" + i + ".log");
      processes.add(
          ChildProcess.start(logFile, classPath, Main.class, "--config", settingsFile.toString()));
    }
    for (int first = 0; first < targetCount; first += TARGETS_PER_PROCESS) {
      startTargets(first, Math.min(TARGETS_PER_PROCESS, targetCount - first), slots);
    }
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
    for (int i = 0; i < daemonCount; i++) {
      while (!isReady(i)) {
        if (System.nanoTime() - deadlineNanos > 0) {
          throw new IllegalStateException(
              "daemon "
                  + i
                  + " is not ready; logs in "
                  + folder
                  + ", status "
                  + abbreviate(lastStatus));
        }
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    }
  }

  ChildProcess daemon(int i) {
    return processes.get(i);
  }

  int httpPort(int daemon) {
    return firstPort + daemon * PORTS_PER_DAEMON + 1;
  }

  int targetPort(int target) {
    return firstPort + daemonCount * PORTS_PER_DAEMON + target;
  }

  /** Returns those of a number of candidate keys whose owner has this daemon as dispatcher. */
  List<String> keysDispatchedBy(int daemon, int candidates)
      throws IOException, InterruptedException {
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < candidates; i++) {
      String path = "/v1/owner?service=" + SERVICE + "&key=card-" + i;
      JsonNode owner = mapper.readTree(get(0, path));
      if (owner.path("dispatcher").asText().equals("daemon-" + daemon)) {
        keys.add("card-" + i);
      }
    }
    return keys;
  }

  /** Reads a path of the operator API of a daemon. */
  String get(int daemon, String path) throws IOException, InterruptedException {
    int operatorPort = firstPort + daemon * PORTS_PER_DAEMON + 2;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + operatorPort + path))
            .header("Authorization", "Bearer " + TOKEN)
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  @Override
  public void close() {
    // Targets end first, so that daemons do not see their connections break during a request.
    for (int i = processes.size() - 1; i >= 0; i--) {
      processes.get(i).close();
    }
  }

  private void writeSecret(String name, String text) throws IOException {
    Path file = Files.writeString(folder.resolve(name), text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
  }

  private static String abbreviate(String text) {
    return text.substring(0, Math.min(text.length(), MAX_STATUS_CHARS));
  }

  private boolean isReady(int daemon) throws InterruptedException {
    try {
      lastStatus = get(daemon, "/v1/status");
      JsonNode status = mapper.readTree(lastStatus);
      int dispatchedTargets = 0;
      for (JsonNode target : status.path("targets")) {
        dispatchedTargets += target.path("dispatcher").asText().startsWith("daemon-") ? 1 : 0;
      }
      JsonNode service = status.path("services").path(0);
      boolean allSlotsOwned = targetCount == 0 || service.path("unownedHashSlots").asInt(1) == 0;
      return dispatchedTargets == targetCount
          && allSlotsOwned
          && status.path("instances").size() == daemonCount
          && status.path("leader").asText().startsWith("daemon-");
    } catch (IOException e) {
      return false;
    }
  }

  private void startTargets(int first, int count, int slots) {
    List<String> arguments = new ArrayList<>();
    arguments.add(SERVICE);
    arguments.add(Integer.toString(slots));
    arguments.add(Integer.toString(targetPort(first)));
    arguments.add(Integer.toString(count));
    for (int i = 0; i < daemonCount; i++) {
      arguments.add("127.0.0.1:" + httpPort(i));
    }
    Path logFile = folder.resolve("targets-" + first + ".log");
    processes.add(
        ChildProcess.start(logFile, FixedResponseTargets.class, arguments.toArray(String[]::new)));
  }

  private String settingsToml(int daemon) {
    Set<String> memberNames =
        IntStream.range(0, controlMemberCount)
            .mapToObj(i -> "\"daemon-" + i + "\"")
            .collect(Collectors.toSet());
    StringBuilder text = new StringBuilder();
    text.append("cluster-name = \"measurement\"\nshared-key-file = \"shared.key\"\n");
    text.append("operator-token-file = \"operator.token\"\n");
    text.append("initial-members = [" + String.join(", ", memberNames) + "]\n");
    if (daemon < controlMemberCount) {
      text.append("data-folder = \"data-" + daemon + "\"\n");
    }
    int linkPort = firstPort + daemon * PORTS_PER_DAEMON;
    text.append("[instance]\nid = \"daemon-%d\"\n".formatted(daemon));
    text.append("zone = \"zone-%d\"\n[listen]\n".formatted(daemon % 3));
    text.append(
        "link = \"127.0.0.1:%d\"\nhttp = \"127.0.0.1:%d\"\n".formatted(linkPort, linkPort + 1));
    text.append("operator = \"127.0.0.1:%d\"\n".formatted(linkPort + 2));
    for (int i = 0; i < controlMemberCount; i++) {
      text.append("[[control-members]]\ninstance-id = \"daemon-%d\"\n".formatted(i));
      text.append("link-address = \"127.0.0.1:%d\"\n".formatted(firstPort + i * PORTS_PER_DAEMON));
    }
    text.append("[[services]]\nname = \"" + SERVICE + "\"\nkeyed = true\nhash-slots = 1024\n");
    return text.append("move-policy = \"availability\"\n").toString();
  }
}
