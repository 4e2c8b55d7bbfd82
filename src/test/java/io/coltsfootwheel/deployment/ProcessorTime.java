package io.coltsfootwheel.deployment;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * Time that the threads of processes ran, and time that they were runnable and waited for a
 * processor. A long wait tells an overloaded machine from a slow program. Zero where the operating
 * system does not tell.
 *
 * @param ranMillis time on a processor
 * @param waitedMillis time of waiting for one
 */
record ProcessorTime(long ranMillis, long waitedMillis) {
  /** Measures the current processes of machines, which are children of this one. */
  static ProcessorTime of(Collection<Machine> machines) {
    return machines.stream()
        .map(machine -> of(machine.pid()))
        .reduce(new ProcessorTime(0, 0), ProcessorTime::plus);
  }

  private static ProcessorTime of(long pid) {
    ProcessorTime sum = new ProcessorTime(0, 0);
    Path threads = Path.of("/proc", Long.toString(pid), "task");
    try (DirectoryStream<Path> folders = Files.newDirectoryStream(threads)) {
      for (Path folder : folders) {
        String[] nanos = Files.readString(folder.resolve("schedstat")).split(" ");
        sum = sum.plus(new ProcessorTime(toMillis(nanos[0]), toMillis(nanos[1])));
      }
    } catch (IOException e) {
      // The process or a thread has ended meanwhile.
    }
    return sum;
  }

  private static long toMillis(String nanos) {
    return TimeUnit.NANOSECONDS.toMillis(Long.parseLong(nanos));
  }

  private ProcessorTime plus(ProcessorTime other) {
    return new ProcessorTime(ranMillis + other.ranMillis, waitedMillis + other.waitedMillis);
  }
}
