package io.coltsfootwheel.deployment;

import java.util.List;

/** Limits under which the processes of a crowd test run. */
enum CrowdLimits {
  /** Heap and direct memory of the deploy file. */
  DEPLOYED(64, 32),
  /** Half of both, so that a small crowd has the effect of a large one. */
  LOWERED(32, 16);

  /** Memory of the machine in the deployment diop-minutes, in megabytes. */
  private static final int DEPLOYED_MEMORY_MEGABYTES = 430;

  private static final int DEPLOYED_JVM_MEGABYTES = 96;

  /** Descriptors of a machine that are reserved for files outside the data folder. */
  private static final int RESERVED_FDS = 200;

  private static final int MAX_FDS = 500;

  private final int heapMegabytes;
  private final int directMegabytes;

  CrowdLimits(int heapMegabytes, int directMegabytes) {
    this.heapMegabytes = heapMegabytes;
    this.directMegabytes = directMegabytes;
  }

  /** Returns a command of the deploy file with these limits. */
  List<String> applyTo(List<String> command) {
    return command.stream().map(this::limit).toList();
  }

  private String limit(String word) {
    if (word.startsWith("-Xmx")) {
      return "-Xmx" + heapMegabytes + "m";
    }
    return word.startsWith("-XX:MaxDirectMemorySize=")
        ? "-XX:MaxDirectMemorySize=" + directMegabytes + "m"
        : word;
  }

  /** Returns the memory of the machine: what the JVM gets less, the machine has less. */
  int memoryMegabytes() {
    return DEPLOYED_MEMORY_MEGABYTES - DEPLOYED_JVM_MEGABYTES + heapMegabytes + directMegabytes;
  }

  /** Returns the descriptors that a process may have. */
  int maxFds() {
    return MAX_FDS;
  }

  /** Returns the sockets and pipes that a process may have. */
  int maxSockets() {
    return MAX_FDS - RESERVED_FDS;
  }
}
