package io.coltsfootwheel;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against dependencies that docs/design.md rules out, and against non-deterministic
 * decisions.
 */
class ArchitectureTest {
  private static final String ROOT = "io.coltsfootwheel.";
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("io.coltsfootwheel");

  @ParameterizedTest
  @CsvSource({
    "loadcontrol, 'consensus control dispatch journal link edge settings daemon tool routing keyspace relay node eventlog runtime'",
    "model, 'loadcontrol consensus control dispatch journal link edge settings daemon tool'",
    "consensus, 'control dispatch journal link edge settings daemon tool'",
    "control, 'consensus dispatch journal link edge settings daemon tool'",
    "dispatch, 'consensus journal link edge settings daemon tool'",
    "journal, 'control dispatch link edge settings daemon tool'",
    "link, 'consensus control dispatch journal edge settings daemon tool'",
    "edge, 'consensus journal settings daemon tool'",
    "settings, 'consensus control dispatch journal link edge daemon tool'",
    "daemon, 'tool'",
    "routing, 'consensus control dispatch journal link edge settings daemon tool keyspace relay node'",
    "keyspace, 'consensus control dispatch journal link edge settings daemon tool relay node'",
    "relay, 'consensus control dispatch journal link edge settings daemon tool node'",
    "node, 'control dispatch edge settings daemon tool'",
    "eventlog, 'consensus control dispatch journal link edge settings daemon tool relay node'",
    "runtime, 'control dispatch link edge settings daemon tool relay node'",
    "platform, 'consensus journal link control dispatch edge settings daemon tool'",
    "tool, 'consensus dispatch journal link edge daemon'",
  })
  void packageDependsOnlyInTheDesignedDirection(String from, String forbidden) {
    String[] packages =
        Arrays.stream(forbidden.split(" ")).map(name -> ROOT + name + "..").toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(ROOT + from + "..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages)
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  /** Guards against decision logic in the adapter package {@code platform}. */
  @Test
  void noPackageDependsOnThePlatformAdapter() {
    noClasses()
        .that()
        .resideOutsideOfPackage(ROOT + "platform..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + "platform..")
        .check(CLASSES);
  }

  /** Guards against names of the platform outside its adapter package {@code platform}. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-Coltsfootwheel-",
        "api/rpc",
        "api/readyz",
        "heartbeatUrl",
        "warmupLeftMs",
        "resourceType",
        "listenAddrs",
        "COLTSFOOTWHEEL_NODE_FILE"
      })
  void platformNamesOccurOnlyInTheAdapter(String name) throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      List<Path> violations =
          files
              .filter(f -> f.toString().endsWith(".java"))
              .filter(f -> !f.toString().contains("/platform/"))
              .filter(f -> contains(f, name))
              .toList();
      assertThat(violations).isEmpty();
    }
  }

  /**
   * Guards against an unneeded DNS resolver in every process: Reactor Netty creates one, and reads
   * the system's resolver file, when a client's event loops are set before its resolver.
   */
  @Test
  void tcpClientsSetTheirResolverBeforeTheirEventLoops() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      List<Path> violations =
          files
              .filter(f -> f.toString().endsWith(".java"))
              .filter(f -> contains(f, "TcpClient.create("))
              .filter(f -> !setsResolverBeforeEventLoops(f))
              .toList();
      assertThat(violations).isEmpty();
    }
  }

  private static boolean setsResolverBeforeEventLoops(Path file) {
    try {
      String text = Files.readString(file);
      String client = text.substring(text.indexOf("TcpClient.create("));
      int resolver = client.indexOf(".resolver(");
      return resolver >= 0 && resolver < client.indexOf(".runOn(");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean contains(Path file, String text) {
    try {
      return Files.readString(file).contains(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"model", "consensus", "control", "dispatch", "routing", "keyspace", "loadcontrol"})
  void decisionPackagesUseNoClockThreadSocketOrFile(String name) {
    noClasses()
        .that()
        .resideInAPackage(ROOT + name + "..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "reactor..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .allowEmptyShould(true)
        .check(CLASSES);
  }

  @Test
  void decisionPackagesUseNoUnseededRandom() {
    String[] decisionPackages =
        Stream.of("model", "consensus", "control", "dispatch", "routing", "keyspace", "loadcontrol")
            .map(name -> ROOT + name + "..")
            .toArray(String[]::new);
    noClasses()
        .that()
        .resideInAnyPackage(decisionPackages)
        .should()
        .callConstructor(java.util.Random.class)
        .orShould()
        .callMethod(Math.class, "random")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
        .allowEmptyShould(true)
        .check(CLASSES);
  }
}
