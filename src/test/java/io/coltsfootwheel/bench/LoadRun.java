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

/** One run of the load driver as a process, and the match of its requests with executions. */
final class LoadRun {
  /** The driver ends at most its deadline and 2 s after its last request. */
  private static final int END_SECONDS = 30;

  private static final int MATCH_SECONDS = 60;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Fleet fleet;
  private final String name;

  private LoadRun(Fleet fleet, String name) {
    this.fleet = fleet;
    this.name = name;
  }

  /**
   * Starts the driver against all daemons, in the order of the plan.
   *
   * @param name name of its log and record files
   * @param heap heap size of the driver
   * @param options further options of the {@code load} command
   */
  static LoadRun start(Fleet fleet, String name, String heap, List<String> options) {
    LoadRun run = new LoadRun(fleet, name);
    List<String> command = new ArrayList<>(List.of(run.tool(), "load"));
    fleet.settings().nodes().forEach(n -> command.addAll(List.of("--entry", n.http().toString())));
    command.addAll(List.of("--keyed-service", fleet.plan().keyedService().name()));
    command.addAll(List.of("--unkeyed-service", fleet.plan().unkeyedService().name()));
    command.addAll(List.of("--record", run.requests().toString()));
    command.addAll(options);
    fleet.processes().start(name, run.flags(heap), command);
    return run;
  }

  boolean isRunning() {
    return fleet.processes().isAlive(name);
  }

  /** Waits for the end of the driver and returns what it printed. */
  String awaitSummary(int seconds) throws InterruptedException, IOException {
    int status = fleet.processes().awaitExit(name, seconds + END_SECONDS);
    String text = Files.readString(fleet.processes().logFile(name)).strip();
    if (status != 0) {
      throw new IllegalStateException("the load driver ended with status " + status + "\n" + text);
    }
    return text;
  }

  /** Matches requests with executions and returns the line that the tool prints. */
  String match() throws InterruptedException, IOException {
    List<String> command = new ArrayList<>(List.of(tool(), "match"));
    command.addAll(List.of("--requests", requests().toString(), "--executions"));
    fleet.executionFiles().forEach(file -> command.add(file.toString()));
    fleet.processes().start(name + "-match", flags("1g"), command);
    fleet.processes().awaitExit(name + "-match", MATCH_SECONDS);
    return Files.readString(fleet.processes().logFile(name + "-match")).strip();
  }

  /** Returns the records of requests, in the order of due times. */
  List<JsonNode> records() throws IOException {
    List<JsonNode> records = new ArrayList<>();
    try (Stream<String> lines = Files.lines(requests())) {
      for (String line : (Iterable<String>) lines::iterator) {
        records.add(JSON.readTree(line));
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

  /** Computes the unavailable times of hash slots from the requests that pass the filter. */
  UnavailableTimes unavailable(List<JsonNode> records, Predicate<JsonNode> counted) {
    int hashSlots = fleet.plan().keyedService().hashSlots();
    return UnavailableTimes.of(
        records.stream()
            .filter(record -> !record.path("key").asText().isEmpty())
            .filter(counted)
            .map(record -> sample(record, hashSlots))
            .toList());
  }

  private static Sample sample(JsonNode record, int hashSlots) {
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

  private Path requests() {
    return fleet.folder().resolve(name + "-requests.jsonl");
  }

  private String tool() {
    return fleet.home().resolve("bin/coltsfootwheel").toString();
  }

  private Map<String, String> flags(String heap) {
    return Map.of(
        "COLTSFOOTWHEEL_JVM_FLAGS", "-Xmx" + heap + " -XX:+UseSerialGC -XX:TieredStopAtLevel=1");
  }
}
