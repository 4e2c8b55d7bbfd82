package io.coltsfootwheel.loadcontrol;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the target of an unkeyed request.
 *
 * <p>Designed for many entries with the same load estimates, which would all choose the targets
 * that were idle when the estimates were made. An entry therefore compares a small random sample,
 * and examines all targets only when the sample contains none on which the response is expected
 * well within the latency objective. See docs/design/target-selection.md.
 *
 * @param <T> identifies a target
 */
public final class TargetSelection<T> {
  /**
   * Targets in a sample. A target that appears idle receives at most this many times the mean until
   * the next estimates, about as many requests as the smallest targets have slots.
   */
  static final int SAMPLE_SIZE = 4;

  /**
   * Share of the remaining objective within which the response must be expected on a target that is
   * chosen from a sample. The rest covers 1.8 standard deviations of the time of a request, less
   * what other entries send until the next estimates.
   */
  static final double GOOD_ENOUGH_RATIO = 0.5;

  /**
   * Share of the sample of the own zone that must be good enough. Below it the zone is nearly full,
   * and the requests of all its entries would go to the few targets that appear idle.
   */
  private static final double MIN_GOOD_RATIO_IN_OWN_ZONE = 0.75;

  /**
   * Preference for the own zone among all targets. With four equal zones half of the requests stay
   * in their zone, and a target that alone is idle there receives at most twice as many.
   */
  private static final double OWN_ZONE_WEIGHT = 3;

  /** Traffic between availability zones is expensive, and bulk requests transfer many bytes. */
  private static final double CROSS_ZONE_BULK_PENALTY_MILLIS = 150;

  private static final double CROSS_ZONE_PENALTY_MILLIS = 10;

  /**
   * Largest relative random increase of an expected response time, so that entries with the same
   * data choose different targets.
   */
  private static final double JITTER_RATIO = 0.3;

  /**
   * Penalties of targets that are used only as a last resort. Their sizes set the preference: first
   * a target that is not ready, then a suspect one, then one that was already tried.
   */
  private static final double NOT_READY_PENALTY_MILLIS = 1e5;

  private static final double SUSPECT_PENALTY_MILLIS = 1e6;
  private static final double TRIED_PENALTY_MILLIS = 1e7;

  private final UniformRandomProvider random;
  private final Function<T, TargetCandidate> properties;
  private final SelectionNeed need;

  /**
   * Targets that may be selected, each in one of the first two lists.
   *
   * @param ownZone targets in the availability zone of the entry
   * @param otherZones all other targets
   * @param joined those of them that are due for a first request of this entry
   * @param <T> identifies a target
   */
  public record Targets<T>(List<T> ownZone, List<T> otherZones, List<T> joined) {
    private List<T> all() {
      List<T> all = new ArrayList<>(ownZone);
      all.addAll(otherZones);
      return all;
    }
  }

  /**
   * Selected target.
   *
   * @param target the target
   * @param step step in which it was found
   * @param <T> identifies a target
   */
  public record Selected<T>(T target, SelectionStep step) {}

  private record Examined<T>(T target, TargetCandidate candidate) {}

  /**
   * Prepares the selection for one request.
   *
   * @param random source of random numbers
   * @param properties returns the properties of a target
   * @param need what the request requires
   */
  public TargetSelection(
      UniformRandomProvider random, Function<T, TargetCandidate> properties, SelectionNeed need) {
    this.random = random;
    this.properties = properties;
    this.need = need;
  }

  /**
   * Selects a target.
   *
   * @param targets the targets
   * @return the target, empty when there is none
   */
  public Optional<Selected<T>> select(Targets<T> targets) {
    return bestOf(sample(targets.joined()), 0, SelectionStep.FIRST_REQUEST)
        .or(
            () ->
                bestOf(
                    sample(targets.ownZone()), MIN_GOOD_RATIO_IN_OWN_ZONE, SelectionStep.OWN_ZONE))
        .or(() -> bestOf(sample(targets.otherZones()), 0, SelectionStep.OTHER_ZONE))
        .or(() -> examine(targets.all()));
  }

  /** Returns up to {@link #SAMPLE_SIZE} different targets in random order. */
  private List<T> sample(List<T> targets) {
    List<T> shuffled = new ArrayList<>(targets);
    int size = Math.min(SAMPLE_SIZE, shuffled.size());
    for (int i = 0; i < size; i++) {
      Collections.swap(shuffled, i, i + random.nextInt(shuffled.size() - i));
    }
    return shuffled.subList(0, size);
  }

  private Optional<Selected<T>> bestOf(List<T> sample, double minGoodRatio, SelectionStep step) {
    List<Examined<T>> good =
        sample.stream()
            .map(t -> new Examined<>(t, properties.apply(t)))
            .filter(e -> isGoodEnough(e.candidate()))
            .toList();
    if (good.size() < minGoodRatio * sample.size()) {
      return Optional.empty();
    }
    return good.stream()
        .reduce((best, e) -> isBetter(e.candidate(), best.candidate()) ? e : best)
        .map(best -> new Selected<>(best.target(), step));
  }

  private boolean isGoodEnough(TargetCandidate candidate) {
    return candidate.isUsable()
        && candidate.expectedResponseMillis()
            <= GOOD_ENOUGH_RATIO * need.remainingObjectiveMillis();
  }

  /** The speed does not count, which leaves fast targets to requests with a short objective. */
  private static boolean isBetter(TargetCandidate candidate, TargetCandidate other) {
    return candidate.waitMillis() < other.waitMillis()
        || candidate.waitMillis() <= other.waitMillis()
            && candidate.idleConnection()
            && !other.idleConnection();
  }

  private Optional<Selected<T>> examine(List<T> targets) {
    List<Examined<T>> examined =
        targets.stream().map(t -> new Examined<>(t, properties.apply(t))).toList();
    return weightedByRoom(examined)
        .map(e -> new Selected<>(e.target(), SelectionStep.EXAMINED))
        .or(
            () ->
                cheapest(examined).map(e -> new Selected<>(e.target(), SelectionStep.LAST_RESORT)));
  }

  /**
   * Draws a target in proportion to the requests that it can take before a further one misses the
   * objective, so that the few that are idle do not receive all requests.
   */
  private Optional<Examined<T>> weightedByRoom(List<Examined<T>> examined) {
    double[] weights =
        examined.stream()
            .mapToDouble(e -> e.candidate().isUsable() ? weight(e.candidate()) : 0)
            .toArray();
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double remaining = total * random.nextDouble();
    for (int i = 0; i < weights.length; i++) {
      remaining -= weights[i];
      if (weights[i] > 0 && remaining < 0) {
        return Optional.of(examined.get(i));
      }
    }
    return Optional.empty();
  }

  private double weight(TargetCandidate candidate) {
    return room(candidate) * (candidate.ownZone() ? OWN_ZONE_WEIGHT : 1);
  }

  /** Returns how many requests the target can take until one misses the objective. */
  private double room(TargetCandidate candidate) {
    double spareMillis =
        need.remainingObjectiveMillis()
            - candidate.expectedResponseMillis()
            - crossZonePenaltyMillis(candidate);
    return Math.max(0, spareMillis) * candidate.slots() / candidate.millisPerRequest();
  }

  /**
   * Returns the target of the lowest cost. The cost is random, so it is computed once for each
   * target; a comparator would draw it anew for each comparison, which prefers the last ones.
   */
  private Optional<Examined<T>> cheapest(List<Examined<T>> examined) {
    Optional<Examined<T>> cheapest = Optional.empty();
    double lowestCostMillis = Double.POSITIVE_INFINITY;
    for (Examined<T> e : examined) {
      double costMillis = costMillis(e.candidate());
      if (cheapest.isEmpty() || costMillis < lowestCostMillis) {
        lowestCostMillis = costMillis;
        cheapest = Optional.of(e);
      }
    }
    return cheapest;
  }

  private double costMillis(TargetCandidate candidate) {
    double jitterFactor = 1 + JITTER_RATIO * random.nextDouble();
    return candidate.expectedResponseMillis() * jitterFactor
        + crossZonePenaltyMillis(candidate)
        + (candidate.alreadyTried() ? TRIED_PENALTY_MILLIS : 0)
        + (candidate.suspect() ? SUSPECT_PENALTY_MILLIS : 0)
        + (candidate.leaving() ? NOT_READY_PENALTY_MILLIS : 0);
  }

  private double crossZonePenaltyMillis(TargetCandidate candidate) {
    if (candidate.ownZone()) {
      return 0;
    }
    return need.bulk() ? CROSS_ZONE_BULK_PENALTY_MILLIS : CROSS_ZONE_PENALTY_MILLIS;
  }
}
