package io.coltsfootwheel.tool;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the requests of a run in the order of their due times, the same for equal seeds. */
final class LoadSchedule {
  private final LoadPlan plan;
  private final KeyChooser keyChooser;
  private final UniformRandomProvider random;

  LoadSchedule(LoadPlan plan) {
    this.plan = plan;
    this.keyChooser = KeyChooser.of(plan.keys(), plan.zipfExponent());
    this.random = RandomSource.XO_SHI_RO_256_PP.create(plan.seed());
  }

  /**
   * Returns the next request.
   *
   * @param number position in the schedule, which increases by one with each call
   * @param stamp stamp of the last response that carried one, empty if there is none
   */
  LoadRequest next(int number, String stamp) {
    boolean keyed = nextIsKeyed();
    String key = keyed ? "key-" + keyChooser.next(random) : "";
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

  private boolean nextIsKeyed() {
    if (plan.keyedService().isEmpty() || plan.unkeyedService().isEmpty()) {
      return plan.unkeyedService().isEmpty();
    }
    return random.nextDouble() >= plan.unkeyedShare();
  }
}
