package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs processes of the platform whose standard output is a full pipe that nobody reads. */
@Timeout(60)
class UnreadOutputTest {
  private static final int FIRST = 1;
  private static final int SECOND = 2;

  /** Each call makes a line in the log of about its own length; a pipe holds 64 KiB. */
  private static final int CALL_COUNT = 60;

  private static final String LONG_NAME = "x".repeat(3_000);
  private static final int EXIT_TIMEOUT_SECONDS = 20;
  private static final String CONFIGURATION =
      """
      {"version":"r1","resources":[
      {"resourceType":"services","metadata":{"name":"s"},"spec":{"healthPath":"/healthz",
      "maxConnections":10,"protocol":"h1","tls":false}},
      {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
      "maxBodyBytes":8388608,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}]}
      """;

  @TempDir private Path folder;

  /**
   * Guards against network threads that wait for good for the lock of standard output, so that the
   * process neither answers nor ends at SIGTERM.
   */
  @Test
  void processAnswersAndEndsWhileNobodyReadsItsLog() throws Exception {
    try (PlatformProcesses processes = new PlatformProcesses(folder)) {
      Process first = startControl(processes, FIRST);
      processes.awaitStatus(400, FIRST, PlatformProcesses.CONTROL_PORT, "/api/rpc?call=x", "x");
      for (int i = 0; i < CALL_COUNT; i++) {
        processes.call(
            FIRST, PlatformProcesses.CONTROL_PORT, "/api/rpc?call=x&of=" + LONG_NAME, "x");
      }
      startControl(processes, SECOND);
      processes.awaitStatus(
          200, FIRST, PlatformProcesses.CONTROL_PORT, "/api/rpc?call=config.put", CONFIGURATION);
      first.destroy();
      assertThat(first.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(first.exitValue()).isZero();
    }
  }

  private Process startControl(PlatformProcesses processes, int number) throws Exception {
    return processes.start(
        Optional.of(processes.writeSettings(number, FIRST, SECOND)),
        ProcessBuilder.Redirect.PIPE,
        "control");
  }
}
