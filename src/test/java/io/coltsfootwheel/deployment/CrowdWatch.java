package io.coltsfootwheel.deployment;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Highest use of memory and descriptors of a process while a crowd is there. */
final class CrowdWatch implements AutoCloseable {
  private static final long SAMPLE_MILLIS = 100;
  private static final long BYTES_PER_MEGABYTE = 1024 * 1024;
  private static final long STOP_SECONDS = 5;

  private final CrowdProcess process;
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private volatile long maxMemoryBytes;
  private volatile int maxDescriptors;
  private volatile long maxSockets;

  CrowdWatch(CrowdProcess process) {
    this.process = process;
    executor.scheduleWithFixedDelay(this::sample, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void sample() {
    maxMemoryBytes = Math.max(maxMemoryBytes, process.memoryBytes());
    maxDescriptors = Math.max(maxDescriptors, process.descriptorCount());
    maxSockets = Math.max(maxSockets, process.sockets());
  }

  long maxMemoryBytes() {
    return maxMemoryBytes;
  }

  int maxDescriptors() {
    return maxDescriptors;
  }

  long maxSockets() {
    return maxSockets;
  }

  /** Describes the highest use. */
  String summary() {
    return "up to %d MiB, %d descriptors and %d sockets"
        .formatted(maxMemoryBytes / BYTES_PER_MEGABYTE, maxDescriptors, maxSockets);
  }

  @Override
  public void close() throws InterruptedException {
    executor.shutdown();
    executor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
  }
}
