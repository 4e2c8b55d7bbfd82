package io.coltsfootwheel.bench;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Java process started by a measurement, whose CPU time can be read. */
final class ChildProcess implements AutoCloseable {
  private static final long STOP_TIMEOUT_SECONDS = 5;

  private final String name;
  private final Process process;

  private ChildProcess(String name, Process process) {
    this.name = name;
    this.process = process;
    // Without this hook, a measurement ended by a signal would leave its child processes running.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroy));
  }

  /**
   * Starts a main class on the class path of this process, with the JVM flags of a small daemon
   * unless the system property {@code bench.flags} replaces them.
   *
   * @param logFile file for standard output and standard error
   * @param mainClass class with the main method
   * @param arguments arguments of the main method
   */
  static ChildProcess start(Path logFile, Class<?> mainClass, String... arguments) {
    return start(logFile, System.getProperty("java.class.path"), mainClass, arguments);
  }

  /** Starts a main class on another class path. */
  static ChildProcess start(
      Path logFile, String classPath, Class<?> mainClass, String... arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    String jvmFlags = System.getProperty("bench.flags", "-Xmx192m -XX:+UseSerialGC");
    command.addAll(List.of(jvmFlags.split(" ")));
    command.addAll(List.of("-cp", classPath, mainClass.getName()));
    command.addAll(List.of(arguments));
    File output = logFile.toFile();
    try {
      Process process =
          new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start();
      return new ChildProcess(logFile.getFileName().toString(), process);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long pid() {
    return process.pid();
  }

  Duration cpuTime() {
    return process
        .info()
        .totalCpuDuration()
        .orElseThrow(
            () ->
                new IllegalStateException(name + " has exited, or its CPU time is not available"));
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
