package io.coltsfootwheel.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Starts processes with one log file each, and signals and ends only these processes, by process
 * id.
 */
public final class ProcessGroup implements AutoCloseable {
  private final Path logFolder;
  private final Map<String, Process> processes = new ConcurrentHashMap<>();

  /**
   * Creates an empty group.
   *
   * @param logFolder folder of the log files
   */
  public ProcessGroup(Path logFolder) {
    this.logFolder = logFolder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll, "kill-processes"));
  }

  /** Starts a process and appends its standard output and standard error to {@code NAME.log}. */
  Process start(String name, Map<String, String> environment, List<String> command) {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putAll(environment);
    return start(name, builder);
  }

  /**
   * Starts a process as its builder says, and appends its standard output and standard error to
   * {@code NAME.log}.
   */
  public Process start(String name, ProcessBuilder builder) {
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(name).toFile()));
    try {
      Process process = builder.start();
      processes.put(name, process);
      return process;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the log file of a process. */
  public Path logFile(String name) {
    return logFolder.resolve(name + ".log");
  }

  boolean isAlive(String name) {
    return processes.get(name).isAlive();
  }

  /** Sends a signal such as {@code KILL}, {@code STOP}, {@code CONT} or {@code TERM}. */
  public void signal(String name, String signal) throws IOException, InterruptedException {
    String pid = Long.toString(processes.get(name).pid());
    int exitStatus = new ProcessBuilder("kill", "-" + signal, pid).inheritIO().start().waitFor();
    if (exitStatus != 0) {
      throw new IllegalStateException("kill -" + signal + " of " + name + " failed");
    }
  }

  /** Waits until a process exits or a time has passed; returns whether it has exited. */
  public boolean exits(String name, int timeoutMillis) throws InterruptedException {
    return processes.get(name).waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Waits until a process exits, and returns its exit status. */
  int awaitExit(String name, int timeoutSeconds) throws InterruptedException {
    Process process = processes.get(name);
    if (!process.waitFor(timeoutSeconds, TimeUnit.SECONDS)) {
      throw new IllegalStateException(name + " did not exit within " + timeoutSeconds + " s");
    }
    return process.exitValue();
  }

  /** Kills all processes. The shutdown hook does so when this process ends without this call. */
  @Override
  public void close() {
    killAll();
  }

  /** Sends SIGKILL, because a process that SIGSTOP has suspended does not react to SIGTERM. */
  private void killAll() {
    processes.values().forEach(Process::destroyForcibly);
    processes.values().forEach(process -> process.onExit().join());
  }
}
