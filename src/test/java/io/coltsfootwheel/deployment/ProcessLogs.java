package io.coltsfootwheel.deployment;

import io.coltsfootwheel.deployment.Violation.Rule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Output of the processes of a run. */
final class ProcessLogs {
  private static final String OUT_OF_MEMORY = "OutOfMemoryError";

  private final Path folder;

  ProcessLogs(Path folder) {
    this.folder = folder;
  }

  /** Returns a violation for each machine whose process ran out of memory, even if it went on. */
  List<Violation> judge(List<Machine> machines) {
    return machines.stream().map(this::judge).flatMap(Optional::stream).toList();
  }

  private Optional<Violation> judge(Machine machine) {
    Path file = folder.resolve(machine.name() + ".log");
    try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
      return lines
          .filter(line -> line.contains(OUT_OF_MEMORY))
          .findFirst()
          .map(line -> new Violation(Rule.FAULT, "log of " + machine.name() + ":" + line));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
