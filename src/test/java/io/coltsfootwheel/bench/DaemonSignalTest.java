package io.coltsfootwheel.bench;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.bench.FleetSpec.ServiceTargets;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Sends signals to one daemon process. */
@Timeout(60)
class DaemonSignalTest {
  private static final String DAEMON = "daemon-1";
  private static final int EXIT_TIMEOUT_SECONDS = 30;
  private static final long POLL_MILLIS = 20;

  @TempDir private Path folder;
  private ProcessGroup processes;

  @BeforeEach
  void startDaemon() throws Exception {
    FleetSettings settings = FleetSettings.write(folder, spec());
    processes = new ProcessGroup(folder);
    processes.start(
        DAEMON,
        Map.of(),
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx192m",
            "-XX:+UseSerialGC",
            FleetSpec.C1_ONLY,
            "-cp",
            System.getProperty("java.class.path"),
            "io.coltsfootwheel.daemon.Main",
            "--config",
            settings.file(DAEMON).toString()));
  }

  @AfterEach
  void endProcesses() {
    processes.close();
  }

  /** Guards against a daemon that ends at SIGHUP, as a JVM does by default. */
  @Test
  void hangupDoesNotEndTheDaemon() throws Exception {
    awaitLogLineOrExit("started instance=");
    processes.signal(DAEMON, "HUP");
    awaitLogLineOrExit("SIGHUP ignored");
    assertThat(processes.isAlive(DAEMON)).isTrue();
    processes.signal(DAEMON, "TERM");
    assertThat(processes.awaitExit(DAEMON, EXIT_TIMEOUT_SECONDS)).isZero();
  }

  private void awaitLogLineOrExit(String text) throws Exception {
    while (processes.isAlive(DAEMON) && !log().contains(text)) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  private String log() throws IOException {
    return Files.readString(processes.logFile(DAEMON));
  }

  private static FleetSpec spec() {
    return new FleetSpec(
        "daemon-signal",
        1,
        1,
        List.of(new ServiceTargets("ledger", true, 4, "availability", 1, 1, 5, true)),
        1,
        FleetSpec.C1_ONLY);
  }
}
