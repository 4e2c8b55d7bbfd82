package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Starts single processes of the platform under conditions in which a start may fail. */
@Timeout(60)
class ProcessStartTest {
  private static final int NUMBER = 1;
  private static final int EXIT_TIMEOUT_SECONDS = 30;
  private static final int ARCHIVE_TIMEOUT_SECONDS = 150;
  private static final int BACKLOG = 1;

  @TempDir private Path folder;
  private PlatformProcesses processes;

  @BeforeEach
  void createProcesses() {
    processes = new PlatformProcesses(folder);
  }

  @AfterEach
  void endProcesses() {
    processes.close();
  }

  /** Guards against a process that stays and serves nothing, or ends, as a port is in use. */
  @ParameterizedTest
  @CsvSource({
    "entry, 8144",
    "entry, 8140",
    "entry, 7661",
    "entry, 9464",
    "control, 7660",
    "control, 8146",
    "control, 9464",
  })
  void processStartsWhenAPortBecomesFree(String role, int port) throws Exception {
    Process process;
    try (ServerSocket holder = occupy(port)) {
      assertThat(holder.isBound()).isTrue();
      process = start(role);
      processes.awaitLog(NUMBER, ":" + port);
    }
    awaitServing(role);
    processes.awaitStatus(200, NUMBER, PlatformProcesses.METRICS_PORT, "/metrics", "");
    assertThat(exitStatusAfterSigterm(process)).isZero();
  }

  /** Guards against routers that are kept down by the port of their metrics. */
  @ParameterizedTest
  @CsvSource({"entry", "control"})
  void processServesWithoutMetricsWhileTheirPortIsTaken(String role) throws Exception {
    try (ServerSocket holder = occupy(PlatformProcesses.METRICS_PORT)) {
      Process process = start(role);
      processes.awaitLog(NUMBER, "metrics.unavailable");
      awaitServing(role);
      assertThat(exitStatusAfterSigterm(process)).isZero();
      assertThat(holder.isClosed()).isFalse();
    }
  }

  /** Guards against a process that does not end at SIGTERM while it waits for a port. */
  @ParameterizedTest
  @CsvSource({"entry, 8144", "control, 8146"})
  void sigtermEndsAProcessThatWaitsForAPort(String role, int port) throws Exception {
    try (ServerSocket holder = occupy(port)) {
      Process process = start(role);
      processes.awaitLog(NUMBER, ":" + port);
      assertThat(exitStatusAfterSigterm(process)).isZero();
      assertThat(holder.isClosed()).isFalse();
      assertThat(processes.log(NUMBER)).doesNotContain("process.failed");
    }
  }

  /** Guards against a process that waits for a taken port for good instead of ending. */
  @Test
  void processEndsWithAStatusWhenAPortStaysTaken() throws Exception {
    try (ServerSocket holder = occupy(PlatformProcesses.CONTROL_PORT)) {
      Process process = start("control");
      assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(process.exitValue()).isEqualTo(1);
      assertThat(holder.isClosed()).isFalse();
      assertThat(processes.log(NUMBER)).contains("\"process.failed\"").contains("control address");
    }
  }

  /** Guards against starts that fail without a status or without a line that says why. */
  @ParameterizedTest
  @CsvSource({
    "'', VALID, role",
    "other, VALID, role other",
    "control, UNSET, COLTSFOOTWHEEL_NODE_FILE",
    "control, MISSING, missing.toml",
    "control, FOLDER, folder.toml",
    "control, EMPTY, nodeName",
  })
  void failedStartEndsTheProcessAndNamesTheCause(String role, String settings, String cause)
      throws Exception {
    String[] arguments = role.isEmpty() ? new String[0] : new String[] {role};
    Process process = processes.start(settingsFile(settings), logFile(), arguments);
    assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isEqualTo(1);
    assertThat(processes.log(NUMBER).lines())
        .anyMatch(line -> line.contains("\"process.failed\"") && line.contains(cause));
  }

  /** Guards against a build that never ends, because the run for the archive has failed. */
  @Test
  @Timeout(180)
  void archiveRunEndsWhenNoCallIsAccepted() throws Exception {
    Files.createFile(folder.resolve("data"));
    Process process = processes.start(Optional.empty(), logFile(), "archive", folder.toString());
    assertThat(process.waitFor(ARCHIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isZero();
    assertThat(processes.log(NUMBER)).contains("call config.put was not accepted");
  }

  private Optional<Path> settingsFile(String kind) throws IOException {
    return switch (kind) {
      case "UNSET" -> Optional.empty();
      case "MISSING" -> Optional.of(folder.resolve("missing.toml"));
      case "FOLDER" -> Optional.of(Files.createDirectory(folder.resolve("folder.toml")));
      case "EMPTY" -> Optional.of(Files.createFile(folder.resolve("empty.toml")));
      default -> Optional.of(processes.writeSettings(NUMBER, NUMBER));
    };
  }

  private ServerSocket occupy(int port) throws IOException {
    return new ServerSocket(port, BACKLOG, InetAddress.getByName(processes.host(NUMBER)));
  }

  private Process start(String role) throws IOException {
    return processes.start(Optional.of(processes.writeSettings(NUMBER, NUMBER)), logFile(), role);
  }

  private ProcessBuilder.Redirect logFile() {
    return ProcessBuilder.Redirect.appendTo(processes.logFile(NUMBER));
  }

  /** Waits for an answer; an entry without a control process is not ready, but answers. */
  private void awaitServing(String role) throws InterruptedException {
    if (role.equals("entry")) {
      processes.awaitStatus(503, NUMBER, PlatformProcesses.READINESS_PORT, "/api/readyz", "");
    } else {
      processes.awaitStatus(400, NUMBER, PlatformProcesses.CONTROL_PORT, "/api/rpc?call=x", "x");
    }
  }

  private static int exitStatusAfterSigterm(Process process) throws InterruptedException {
    process.destroy();
    assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    return process.exitValue();
  }
}
