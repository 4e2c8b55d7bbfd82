package io.coltsfootwheel.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import reactor.core.publisher.Mono;

/** Runs many stand-in targets in one process, each with its own port and fault injection. */
public final class StandInTargetHost {
  private StandInTargetHost() {}

  /**
   * Runs targets until the process ends.
   *
   * @param arguments name of a file; each line holds the options of one target, see {@link
   *     StandInTargetOptions}
   * @throws IOException when the file cannot be read
   */
  public static void main(String[] arguments) throws IOException {
    for (String line : Files.readAllLines(Path.of(arguments[0]))) {
      StandInTargetOptions options = StandInTargetOptions.parse(line.split(" "));
      int port = new StandInTarget(options).start().port();
      System.out.println("target " + options.id() + " listens on port " + port);
    }
    Mono.never().block();
  }
}
