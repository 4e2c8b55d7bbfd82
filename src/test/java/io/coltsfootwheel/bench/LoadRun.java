package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.bench.UnavailableTimes.Sample;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Runs the load driver as a process and matches its requests with the executions of the targets.
 */
final class LoadRun {
  /** The driver exits no later than the request deadline plus 2 s after its last request. */
  private static final int EXIT_TIMEOUT_SECONDS = 30;

  private static final int MATCH_TIMEOUT_SECONDS = 60;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Fleet fleet;
  private final String name;

  private LoadRun(Fleet fleet, String name) {
    this.fleet = fleet;
    this.name = name;
  }

  /**
   * Starts the driver, which sends requests to all daemons in the order of their numbers.
   *
   * @param name name of its log and record files
   * @param heapSize maximum heap size of the driver, as in {@code -Xmx}
   * @param options further options of the {@code load} command
   */
  static LoadRun start(Fleet fleet, String name, String heapSize, List<String> options) {
    LoadRun run = new LoadRun(fleet, name);
    List<String> command = new ArrayList<>(List.of(run.toolExecutable(), "load"));
    fleet
        .settings()
        .daemons()
        .forEach(daemon -> command.addAll(List.of("--entry", daemon.http().toString())));
    command.addAll(List.of("--keyed-service", fleet.spec().keyedService().name()));
    command.addAll(List.of("--unkeyed-service", fleet.spec().unkeyedService().name()));
    command.addAll(List.of("--record", run.requestsFile().toString()));
    command.addAll(options);
    fleet.processes().start(name, run.environment(heapSize), command);
    return run;
  }

  boolean isRunning() {
    return fleet.processes().isAlive(name);
  }

  /** Waits until the driver exits, and returns its output. */
  String awaitSummary(int loadSeconds) throws InterruptedException, IOException {
    int exitStatus = fleet.processes().awaitExit(name, loadSeconds + EXIT_TIMEOUT_SECONDS);
    String output = Files.readString(fleet.processes().logFile(name)).strip();
    if (exitStatus != 0) {
      throw new IllegalStateException(
          "the load driver exited with status " + exitStatus + "\n" + output);
    }
    return output;
  }

  /** Matches requests with executions and returns the output of the tool. */
  String matchExecutions() throws InterruptedException, IOException {
    List<String> command = new ArrayList<>(List.of(toolExecutable(), "match"));
    command.addAll(List.of("--requests", requestsFile().toString(), "--executions"));
    fleet.executionFiles().forEach(file -> command.add(file.toString()));
    fleet.processes().start(name + "-match", environment("1g"), command);
    fleet.processes().awaitExit(name + "-match", MATCH_TIMEOUT_SECONDS);
    return Files.readString(fleet.processes().logFile(name + "-match")).strip();
  }

  /** Returns the records of requests, in the order of due times. */
  List<JsonNode> records() throws IOException {
    List<JsonNode> records = new ArrayList<>();
    try (Stream<String> lines = Files.lines(requestsFile())) {
      for (String line : (Iterable<String>) lines::iterator) {
        records.add(MAPPER.readTree(line));
      }
    }
    return records;
  }

  /** Counts lost requests by result and error code. */
  static Map<String, Long> lostByCode(List<JsonNode> records) {
    return records.stream()
        .filter(record -> !isFromTarget(record))
        .collect(
            Collectors.groupingBy(
                record -> record.path("result").asText() + "/" + record.path("code").asText(),
                TreeMap::new,
                Collectors.counting()));
  }

  /** Computes the unavailable times of hash slots from the keyed requests that pass the filter. */
  UnavailableTimes unavailableTimes(List<JsonNode> records, Predicate<JsonNode> included) {
    int hashSlots = fleet.spec().keyedService().hashSlots();
    return UnavailableTimes.of(
        records.stream()
            .filter(record -> !record.path("key").asText().isEmpty())
            .filter(included)
            .map(record -> toSample(record, hashSlots))
            .toList());
  }

  private static Sample toSample(JsonNode record, int hashSlots) {
    byte[] key = record.path("key").asText().getBytes(StandardCharsets.UTF_8);
    long slot = Long.remainderUnsigned(LongHashFunction.xx().hashBytes(key), hashSlots);
    return new Sample(
        Long.toString(slot),
        record.path("dueMicros").asLong(),
        record.path("endMicros").asLong(),
        isFromTarget(record));
  }

  private static boolean isFromTarget(JsonNode record) {
    return !record.path("result").asText().startsWith("LOST");
  }

  private Path requestsFile() {
    return fleet.folder().resolve(name + "-requests.jsonl");
  }

  private String toolExecutable() {
    return fleet.projectFolder().resolve("bin/coltsfootwheel").toString();
  }

  private Map<String, String> environment(String heapSize) {
    return Map.of(
        "COLTSFOOTWHEEL_JVM_FLAGS",
        "-Xmx" + heapSize + " -XX:+UseSerialGC -XX:TieredStopAtLevel=1");
  }
}
