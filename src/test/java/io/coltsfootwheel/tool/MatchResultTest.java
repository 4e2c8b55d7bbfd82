package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against undetected violations of the rules R3, R4 and R5: an identity executed twice, a
 * wrongly reported outcome, and a missing or repeated record.
 */
class MatchResultTest {
  private static final RequestRecord ANSWERED = request(0, LoadResult.ANSWERED);
  private static final RequestRecord NOT_RUN = request(1, LoadResult.LOST_NOT_RUN);
  private static final RequestRecord UNKNOWN = request(2, LoadResult.LOST_UNKNOWN);

  @TempDir Path folder;

  @Test
  void runWithoutViolationPasses() {
    MatchResult result =
        MatchResult.of(
            List.of(ANSWERED, NOT_RUN, UNKNOWN),
            List.of(execution("r-0", "i-0"), execution("other-run", ""), execution("r-2", "i-2")));
    assertThat(result.violations()).isEmpty();
    assertThat(result.text()).isEqualTo("match: sent 3, executions 2: no violation");
  }

  static Stream<Arguments> violations() {
    ExecutionRecord execution = execution("r-0", "i-0");
    return Stream.of(
        Arguments.of(
            List.of(ANSWERED), List.of(execution, execution), "identity i-0 was executed by"),
        Arguments.of(
            List.of(ANSWERED, NOT_RUN),
            List.of(execution, execution("r-1", "")),
            "reported as not run, but was executed"),
        Arguments.of(List.of(ANSWERED), List.of(), "reported as run, but was not executed"),
        Arguments.of(
            List.of(request(0, LoadResult.LOST_RUN)),
            List.of(),
            "reported as run, but was not executed"),
        Arguments.of(List.of(ANSWERED, ANSWERED), List.of(execution), "is recorded twice"),
        Arguments.of(List.of(ANSWERED, UNKNOWN), List.of(execution), "1 requests are missing"));
  }

  @ParameterizedTest(name = "{2}")
  @MethodSource("violations")
  void eachViolationIsReported(
      List<RequestRecord> requests, List<ExecutionRecord> executions, String violation) {
    assertThat(MatchResult.of(requests, executions).violations())
        .anySatisfy(line -> assertThat(line).contains(violation));
  }

  @Test
  void commandReadsFilesAndFailsOnViolation() throws IOException {
    Path requests = write("requests.jsonl", List.of(ANSWERED));
    Path firstExecutions = write("one.jsonl", List.of(execution("r-0", "i-0")));
    Path secondExecutions = write("two.jsonl", List.of(execution("r-0", "i-0")));
    ToolRun successful = runMatch(requests, firstExecutions);
    assertThat(successful.exit()).isEqualTo(ExitCode.OK);
    ToolRun failed = runMatch(requests, firstExecutions, secondExecutions);
    assertThat(failed.exit()).isEqualTo(ExitCode.FAILED);
    assertThat(failed.out().lines()).hasSize(1);
  }

  @Test
  void unreadableLineIsReported() throws IOException {
    Path requests = Files.writeString(folder.resolve("requests.jsonl"), "{\n");
    ToolRun run = runMatch(requests, requests);
    assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
    assertThat(run.err()).contains("requests.jsonl: line 1");
  }

  private static ToolRun runMatch(Path requests, Path... executions) {
    String[] arguments = new String[4 + executions.length];
    arguments[0] = "match";
    arguments[1] = "--requests";
    arguments[2] = requests.toString();
    arguments[3] = "--executions";
    for (int i = 0; i < executions.length; i++) {
      arguments[4 + i] = executions[i].toString();
    }
    return ToolRun.of(arguments);
  }

  private Path write(String name, List<?> values) throws IOException {
    return Files.write(folder.resolve(name), values.stream().map(ToolJson::line).toList());
  }

  private static RequestRecord request(int number, LoadResult result) {
    return LoadSummaryTest.record(number, "a", 0, 1, result, "t");
  }

  private static ExecutionRecord execution(String loadRequest, String identity) {
    return new ExecutionRecord(0, "t1", "q", loadRequest, identity, 7, 3);
  }
}
