package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.bench.FleetSettings.DaemonAddresses;
import io.coltsfootwheel.model.Address;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * Runs the daemons and stand-in targets of a {@link FleetSpec} as processes on loopback, with all
 * files in one folder.
 *
 * <p>Each isolated target has its own process, so that a signal affects no other target. All other
 * targets share the target processes.
 */
final class Fleet implements AutoCloseable {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
  private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(2);
  private static final int READY_TIMEOUT_SECONDS = 60;

  private final Path projectFolder;
  private final Path folder;
  private final FleetSpec spec;
  private final FleetSettings settings;
  private final ProcessGroup processes;
  private final HttpClient http = HttpClient.newHttpClient();
  private final ObjectMapper mapper = new ObjectMapper();

  private Fleet(Path projectFolder, Path folder, FleetSpec spec) throws IOException {
    this.projectFolder = projectFolder;
    this.folder = folder;
    this.spec = spec;
    this.settings = FleetSettings.write(folder, spec);
    this.processes = new ProcessGroup(folder);
  }

  /** Starts a fleet and waits until {@link #awaitReady} returns. */
  static Fleet start(Path projectFolder, Path folder, FleetSpec spec, Set<String> isolatedTargets)
      throws Exception {
    Fleet fleet = new Fleet(projectFolder, folder, spec);
    try {
      fleet.settings.daemons().forEach(daemon -> fleet.startDaemon(daemon.id()));
      List<String> sharedTargets =
          spec.targetIds().stream().filter(id -> !isolatedTargets.contains(id)).toList();
      for (int process = 0; process < spec.targetProcesses(); process++) {
        fleet.startTargets(
            "targets-" + process, partition(sharedTargets, process, spec.targetProcesses()));
      }
      for (String id : isolatedTargets) {
        fleet.startTargets(id, List.of(id));
      }
      fleet.awaitReady();
      return fleet;
    } catch (Exception e) {
      fleet.close();
      throw e;
    }
  }

  ProcessGroup processes() {
    return processes;
  }

  FleetSettings settings() {
    return settings;
  }

  FleetSpec spec() {
    return spec;
  }

  Path projectFolder() {
    return projectFolder;
  }

  Path folder() {
    return folder;
  }

  void startDaemon(String id) {
    String executable = projectFolder.resolve("bin/coltsfootwheeld").toString();
    String flags = "-Xmx192m -XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError " + spec.compilerFlag();
    processes.start(
        id,
        Map.of("COLTSFOOTWHEELD_JVM_FLAGS", flags),
        List.of(executable, "--config", settings.file(id).toString()));
  }

  /** Starts one process that hosts the given targets. */
  void startTargets(String process, List<String> ids) throws IOException {
    Path file = folder.resolve(process + ".targets");
    Files.write(file, ids.stream().map(this::targetOptions).toList());
    String classPath =
        Stream.of("test-classes", "classes", "lib/*")
            .map(name -> projectFolder.resolve("target").resolve(name).toString())
            .collect(Collectors.joining(":"));
    processes.start(
        process,
        Map.of(),
        List.of(
            "java",
            "-Xmx256m",
            "-XX:+UseSerialGC",
            spec.compilerFlag(),
            "-cp",
            classPath,
            StandInTargetHost.class.getName(),
            file.toString()));
  }

  Path executions(String target) {
    return folder.resolve("executions-" + target + ".jsonl");
  }

  /** Returns the total size of the execution files, which grows with each execution. */
  long executionBytes() throws IOException {
    long bytes = 0;
    for (Path file : executionFiles()) {
      bytes += Files.size(file);
    }
    return bytes;
  }

  List<Path> executionFiles() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.getFileName().toString().startsWith("executions-")).toList();
    }
  }

  /** Polls a condition until it holds. A failed request means that it does not hold yet. */
  void await(String description, int timeoutSeconds, Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + Duration.ofSeconds(timeoutSeconds).toNanos();
    while (!holds(condition)) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IllegalStateException(
            description + " was not observed within " + timeoutSeconds + " s");
      }
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  private static boolean holds(Callable<Boolean> condition) throws Exception {
    try {
      return condition.call();
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Waits until the status of each daemon shows a leader, a dispatcher of each target, an owner of
   * each hash slot, and at least one hash slot on each target of the keyed service.
   */
  void awaitReady() throws Exception {
    for (DaemonAddresses daemon : settings.daemons()) {
      await(daemon.id() + " ready state", READY_TIMEOUT_SECONDS, () -> isReady(daemon));
    }
  }

  private boolean isReady(DaemonAddresses daemon) throws Exception {
    JsonNode status = get(daemon, "/v1/status");
    long dispatchedTargets =
        stream(status.path("targets"))
            .filter(target -> !target.path("dispatcher").asText().isEmpty())
            .count();
    boolean allSlotsOwned =
        stream(status.path("services"))
            .allMatch(service -> service.path("unownedHashSlots").asInt() == 0);
    boolean everyTargetOwnsSlots =
        stream(status.path("targets"))
            .filter(target -> target.path("service").asText().equals(spec.keyedService().name()))
            .allMatch(target -> target.path("ownedHashSlots").asInt() > 0);
    return !status.path("leader").asText().isEmpty()
        && dispatchedTargets == spec.targetIds().size()
        && status.path("services").size() == spec.services().size()
        && allSlotsOwned
        && everyTargetOwnsSlots;
  }

  /** Returns the leader according to the status of a daemon, empty when it has none. */
  String leader(DaemonAddresses daemon) throws Exception {
    return get(daemon, "/v1/status").path("leader").asText();
  }

  DaemonAddresses daemon(String id) {
    return settings.daemons().stream()
        .filter(daemon -> daemon.id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  /** Reads a path of a daemon's operator API; empty object for a status other than 200. */
  JsonNode get(DaemonAddresses daemon, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(uri(daemon.operator(), path))
            .timeout(HTTP_TIMEOUT)
            .header("Authorization", "Bearer " + settings.token())
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    return response.statusCode() == 200
        ? mapper.readTree(response.body())
        : mapper.createObjectNode();
  }

  /** Sends a POST without a body and returns the status. */
  int post(Address address, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(uri(address, path))
            .timeout(HTTP_TIMEOUT)
            .header("Authorization", "Bearer " + settings.token())
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
  }

  static Stream<JsonNode> stream(JsonNode array) {
    return StreamSupport.stream(array.spliterator(), false);
  }

  @Override
  public void close() {
    processes.close();
  }

  private static List<String> partition(List<String> ids, int index, int count) {
    return IntStream.range(0, ids.size())
        .filter(i -> i % count == index)
        .mapToObj(ids::get)
        .toList();
  }

  private static URI uri(Address address, String path) {
    return URI.create("http://" + address + path);
  }

  private String targetOptions(String target) {
    FleetSpec.ServiceTargets service =
        spec.services().stream()
            .filter(candidate -> target.startsWith(candidate.name() + "-"))
            .findFirst()
            .orElseThrow();
    int number = Integer.parseInt(target.substring(service.name().length() + 1));
    String announce =
        settings.daemons().stream()
            .map(daemon -> daemon.http().toString())
            .collect(Collectors.joining(","));
    return "--id %s --service %s --zone zone-%d --announce %s --slots %d --service-millis %d%s"
            .formatted(
                target,
                service.name(),
                number % FleetSpec.zoneCount(),
                announce,
                service.slots(),
                service.serviceMillis(),
                service.checksFences() ? "" : " --no-fences")
        + " --executions "
        + executions(target);
  }
}
