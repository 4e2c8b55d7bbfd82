package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the explanation of requests from recorded and constructed log lines. */
class RequestTimelineTest {
  /** Log lines of the processes on a day with hot keys, lost targets and a frozen leader. */
  private static final Path RECORDED_LOG = Path.of("src/test/resources/requests/trouble-3.log");

  private static RequestTimeline timeline(String requestId) throws IOException {
    return RequestTimeline.of(requestId, Files.readAllLines(RECORDED_LOG).stream());
  }

  /** Guards against log lines that lack the details to find the cause of a failed request. */
  @ParameterizedTest
  @CsvSource({
    "f6414685139e4e67, OVERLOAD, more work ahead",
    "658329e4f849e1fe, KEY_MOVING, range=22413-22426",
    "5c00665bfc9ca154, BROKEN_CONNECTION, i-20dae93639",
    "31d677255db20dc8, UNRESPONSIVE_TARGET, i-3f21eff27f"
  })
  void causeOfRecordedRequestIsFound(String requestId, RequestCause cause, String expectedText)
      throws IOException {
    RequestTimeline timeline = timeline(requestId);
    assertThat(timeline.cause()).contains(cause);
    assertThat(timeline.render()).contains(expectedText).contains("cause: ");
  }

  /** Guards against reporting a request as not run that may have run. */
  @ParameterizedTest
  @CsvSource({
    "502 not enough time left, connection to the target: broken, BROKEN_CONNECTION",
    "503 not enough time left, connection to the target: connect_failed, OVERLOAD",
    "503 key is moving, target does not hold the key, KEY_MOVING"
  })
  void failureOfTheLastAttemptIsTheCause(String detail, String lastFailure, RequestCause cause) {
    String line =
        "node-1 {\"time\":\"2026-05-10T01:27:01Z\",\"event\":\"request.failed\",\"request\":\"r\","
            + "\"detail\":\"%s\",\"last_failure\":\"%s\"}".formatted(detail, lastFailure);
    assertThat(RequestTimeline.of("r", Stream.of(line)).cause()).contains(cause);
  }

  /** Guards against a damaged line, or one of another program, that makes the command fail. */
  @Test
  void unreadableLinesAreCounted() throws IOException {
    assertThat(timeline("f6414685139e4e67").unparsedLines()).isEqualTo(2);
    assertThat(RequestTimeline.of("x", Stream.of("", "{", "{}")).unparsedLines()).isEqualTo(3);
  }

  /** Guards against exit code 0 for a request that is not in the logs. */
  @ParameterizedTest
  @CsvSource({"f6414685139e4e67, OK", "0000000000000000, FAILED"})
  void exitCodeReportsWhetherTheRequestWasFound(String requestId, ExitCode expected) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrintStream printStream = new PrintStream(out, true, StandardCharsets.UTF_8);
    ExitCode exitCode =
        new CommandLineTool(new Console(printStream, printStream))
            .run("explain", "--log", RECORDED_LOG.toString(), requestId);
    assertThat(exitCode).isEqualTo(expected);
    assertThat(out.toString(StandardCharsets.UTF_8)).contains(requestId);
  }
}
