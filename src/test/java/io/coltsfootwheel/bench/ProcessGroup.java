package io.coltsfootwheel.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Processes of a run, each with a log file; ends only what it started, by process id. */
final class ProcessGroup implements AutoCloseable {
  private final Path folder;
  private final Map<String, Process> processes = new ConcurrentHashMap<>();

  ProcessGroup(Path folder) {
    this.folder = folder;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll, "end-processes"));
  }

  /** Starts a process whose output is appended to {@code NAME.log}. */
  Process start(String name, Map<String, String> environment, List<String> command) {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
    builder.environment().putAll(environment);
    try {
      Process process = builder.start();
      processes.put(name, process);
      return process;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Path log(String name) {
    return folder.resolve(name + ".log");
  }

  boolean isAlive(String name) {
    return processes.get(name).isAlive();
  }

  /** Sends a signal such as {@code KILL}, {@code STOP}, {@code CONT} or {@code TERM}. */
  void signal(String name, String signal) throws IOException, InterruptedException {
    String pid = Long.toString(processes.get(name).pid());
    int status = new ProcessBuilder("kill", "-" + signal, pid).inheritIO().start().waitFor();
    if (status != 0) {
      throw new IllegalStateException("kill -" + signal + " of " + name + " failed");
    }
  }

  /** Waits for the end of a process and returns its exit status. */
  int awaitEnd(String name, int seconds) throws InterruptedException {
    Process process = processes.get(name);
    if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
      throw new IllegalStateException(name + " did not end within " + seconds + " s");
    }
    return process.exitValue();
  }

  /** Ends all processes; the shutdown hook does it when this process is ended itself. */
  @Override
  public void close() {
    killAll();
  }

  /** SIGKILL also ends a process that is stopped by SIGSTOP. */
  private void killAll() {
    processes.values().forEach(Process::destroyForcibly);
    processes.values().forEach(process -> process.onExit().join());
  }
}
