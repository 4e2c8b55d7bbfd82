package io.coltsfootwheel.tool;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Makes the requests of a run in the order of their due times; equal seeds make equal requests. */
final class LoadSchedule {
  private final LoadPlan plan;
  private final KeyChooser keys;
  private final UniformRandomProvider random;

  LoadSchedule(LoadPlan plan) {
    this.plan = plan;
    this.keys = KeyChooser.of(plan.keys(), plan.zipfExponent());
    this.random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
  }

  /**
   * Returns the next request.
   *
   * @param number position in the schedule, one more at each call
   * @param stamp last stamp that a response carried, empty when none was seen
   */
  LoadRequest next(int number, String stamp) {
    boolean keyed = chooseKeyed();
    String key = keyed ? "key-" + keys.next(random) : "";
    boolean nonIdempotent = random.nextDouble() < plan.nonIdempotentShare();
    String id = plan.runId() + "-" + number;
    String identity = stamp.isEmpty() ? id : stamp + ":" + id;
    return new LoadRequest(
        number,
        id,
        keyed ? plan.keyedService() : plan.unkeyedService(),
        key,
        nonIdempotent ? identity : "",
        plan.dueNanos(number));
  }

  private boolean chooseKeyed() {
    if (plan.keyedService().isEmpty() || plan.unkeyedService().isEmpty()) {
      return plan.unkeyedService().isEmpty();
    }
    return random.nextDouble() >= plan.unkeyedShare();
  }
}
