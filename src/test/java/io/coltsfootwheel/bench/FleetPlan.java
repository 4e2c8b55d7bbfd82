package io.coltsfootwheel.bench;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Daemons and targets of a fleet.
 *
 * @param name cluster name
 * @param daemons number of daemons
 * @param members how many of them, the first ones, are control members
 * @param services services with their targets
 */
record FleetPlan(String name, int daemons, int members, List<ServicePlan> services) {
  /**
   * Service and its targets, named {@code SERVICE-1} and so on.
   *
   * @param name name
   * @param keyed true when each key has one owner
   * @param hashSlots hash slots of a keyed service
   * @param movePolicy availability or churn
   * @param targets number of targets
   * @param slots slots of each target
   * @param serviceMillis execution time
   * @param checksFences whether the targets check fences
   */
  record ServicePlan(
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

  /** Returns the number of zones of both deployments of docs/design.md. */
  static int zones() {
    return 3;
  }

  List<String> targetIds() {
    return services.stream().flatMap(service -> service.targetIds().stream()).toList();
  }

  ServicePlan keyedService() {
    return services.stream().filter(ServicePlan::keyed).findFirst().orElseThrow();
  }

  ServicePlan unkeyedService() {
    return services.stream().filter(s -> !s.keyed()).findFirst().orElseThrow();
  }
}
