package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Set;
import org.assertj.core.api.SoftAssertions;

/** Lets a crowd call one port of a system, and checks what must hold meanwhile and afterwards. */
final class CrowdCheck {
  private static final long PATIENCE_SECONDS = 20;

  /** Time without a sent byte or a new connection after which the crowd has had its effect. */
  private static final long QUIET_MILLIS = 1_000;

  private static final long CROWD_SECONDS = 10;
  private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

  /** Connections of the system itself and of ordinary callers that may come meanwhile. */
  private static final int OTHER_SOCKETS = 20;

  private final CrowdSystem system;
  private final CrowdPort port;
  private final CrowdKind kind;
  private final CrowdProcess process;
  private final SoftAssertions softly = new SoftAssertions();

  CrowdCheck(CrowdSystem system, CrowdPort port, CrowdKind kind) {
    this.system = system;
    this.port = port;
    this.kind = kind;
    this.process = system.processOf(port);
  }

  /** Runs the crowd; fails with all that does not hold. */
  void run() throws IOException, InterruptedException {
    long socketsBefore = process.sockets();
    try (CrowdWatch watch = new CrowdWatch(process)) {
      String summary = runCrowd();
      checkAnswers("after the crowd");
      checkClosed(socketsBefore);
      checkUse(watch);
      System.out.println(port + " " + kind + ": " + summary + ", " + watch.summary());
    }
    checkProcesses();
    softly.assertAll();
  }

  private String runCrowd() throws IOException, InterruptedException {
    try (Crowd crowd =
        new Crowd(port.on(process.ip()), kind.script(port), kind.clients(), kind.connections())) {
      CrowdSystem.holdsWithin(() -> crowd.quietMillis() > QUIET_MILLIS, CROWD_SECONDS);
      checkAnswers("beside the crowd");
      return crowd.summary();
    }
  }

  /** Asks all ports, which share the patience. */
  private void checkAnswers(String when) throws InterruptedException {
    Set<CrowdPort> silent = EnumSet.allOf(CrowdPort.class);
    CrowdSystem.holdsWithin(
        () -> {
          silent.removeIf(each -> each.answers(system.processOf(each).ip()));
          return silent.isEmpty() || !process.isAlive();
        },
        PATIENCE_SECONDS);
    softly.assertThat(silent).as("%s %s: silent %s", port, kind, when).isEmpty();
  }

  private void checkClosed(long socketsBefore) throws InterruptedException {
    boolean closed =
        CrowdSystem.holdsWithin(
            () -> process.sockets() <= socketsBefore + OTHER_SOCKETS, PATIENCE_SECONDS);
    softly.assertThat(closed).as("connections of the crowd are closed").isTrue();
  }

  private void checkUse(CrowdWatch watch) {
    CrowdLimits limits = kind.limits();
    softly
        .assertThat(watch.maxMemoryBytes())
        .as("memory in bytes")
        .isLessThanOrEqualTo(limits.memoryMegabytes() * BYTES_PER_MEGABYTE);
    softly
        .assertThat(watch.maxDescriptors())
        .as("descriptors")
        .isLessThanOrEqualTo(limits.maxFds());
    softly.assertThat(watch.maxSockets()).as("sockets").isLessThanOrEqualTo(limits.maxSockets());
  }

  private void checkProcesses() {
    for (CrowdProcess each : system.processes()) {
      softly.assertThat(each.isAlive()).as("process of %s lives", each.ip()).isTrue();
      softly.assertThat(each.memoryErrors()).as("lack of memory of %s", each.ip()).isEmpty();
    }
  }
}
