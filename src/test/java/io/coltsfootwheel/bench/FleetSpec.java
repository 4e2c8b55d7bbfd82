package io.coltsfootwheel.bench;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Size of a fleet and properties of its processes.
 *
 * @param name cluster name
 * @param daemons number of daemons
 * @param controlMembers number of control members, which are the first daemons
 * @param services services and their targets
 * @param targetProcesses number of processes that host the targets
 * @param compilerFlag JVM flag that selects the JIT compilers in all processes
 */
record FleetSpec(
    String name,
    int daemons,
    int controlMembers,
    List<ServiceTargets> services,
    int targetProcesses,
    String compilerFlag) {
  /**
   * Runs without the optimizing compiler, which would take CPU time from the fleet in short runs on
   * a shared machine.
   */
  static final String C1_ONLY = "-XX:TieredStopAtLevel=1";

  /** Runs with both compilers, as daemons do in production. */
  static final String TIERED_COMPILATION = "-XX:+TieredCompilation";

  /**
   * Service and its targets, which are named {@code SERVICE-1} and so on.
   *
   * @param name name of the service
   * @param keyed true when each key has one owner
   * @param hashSlots hash slots of a keyed service
   * @param movePolicy availability or churn
   * @param targets number of targets
   * @param slots number of requests that each target executes at the same time
   * @param serviceMillis execution time of a request in milliseconds
   * @param checksFences whether the targets refuse requests with an outdated fence or an expired
   *     grant
   */
  record ServiceTargets(
      String name,
      boolean keyed,
      int hashSlots,
      String movePolicy,
      int targets,
      int slots,
      int serviceMillis,
      boolean checksFences) {
    List<String> targetIds() {
      return IntStream.rangeClosed(1, targets).mapToObj(i -> name + "-" + i).toList();
    }
  }

  /**
   * Returns the number of availability zones, which is that of both deployments of docs/design.md.
   */
  static int zoneCount() {
    return 3;
  }

  List<String> targetIds() {
    return services.stream().flatMap(service -> service.targetIds().stream()).toList();
  }

  ServiceTargets keyedService() {
    return services.stream().filter(ServiceTargets::keyed).findFirst().orElseThrow();
  }

  ServiceTargets unkeyedService() {
    return services.stream().filter(s -> !s.keyed()).findFirst().orElseThrow();
  }
}
