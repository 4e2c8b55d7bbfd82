package io.coltsfootwheel.deployment;

import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Lets clients that keep no limits call the processes of the system.
 *
 * <p>The system property {@code crowd.cases} is a pattern of the cases to run, such as {@code FRONT
 * IDLE}; it includes cases that are known to fail. Cases share a system until one of them fails.
 */
@Timeout(300)
class CrowdTest {
  private static final Optional<String> CASES =
      Optional.ofNullable(System.getProperty("crowd.cases"));

  @TempDir private static Path folder;

  private static Optional<CrowdSystem> shared = Optional.empty();
  private static CrowdLimits sharedLimits = CrowdLimits.LOWERED;

  static Stream<Arguments> cases() {
    return Arrays.stream(CrowdLimits.values())
        .flatMap(
            limits -> Arrays.stream(CrowdPort.values()).flatMap(port -> casesOf(limits, port)));
  }

  private static Stream<Arguments> casesOf(CrowdLimits limits, CrowdPort port) {
    return Arrays.stream(CrowdKind.values())
        .filter(kind -> kind.limits() == limits && kind.appliesTo(port))
        .filter(kind -> CASES.map((port + " " + kind)::matches).orElse(true))
        .map(kind -> Arguments.of(port, kind));
  }

  /** Guards against processes that end, hang or run out of memory because of such clients. */
  @ParameterizedTest
  @MethodSource("cases")
  void processesOutliveACrowd(CrowdPort port, CrowdKind kind) throws Exception {
    assumeFalse(
        CASES.isEmpty() && CrowdKnownRed.contains(port, kind),
        () -> "KNOWN-RED.txt, issue 56: " + port + " " + kind);
    CrowdSystem system = serving(kind.limits());
    try {
      new CrowdCheck(system, port, kind).run();
    } catch (Throwable e) {
      closeSystem();
      throw e;
    }
  }

  private static CrowdSystem serving(CrowdLimits limits) throws Exception {
    if (shared.isEmpty() || sharedLimits != limits) {
      closeSystem();
      CrowdSystem system = new CrowdSystem(Files.createTempDirectory(folder, "system"), limits);
      shared = Optional.of(system);
      sharedLimits = limits;
      system.awaitServing();
    }
    return shared.orElseThrow();
  }

  @AfterAll
  static void closeSystem() {
    shared.ifPresent(CrowdSystem::close);
    shared = Optional.empty();
  }
}
