package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chooses the less loaded of two random targets.
 *
 * <p>The load of a target is the number of this entry's requests in flight to it plus the latest
 * load hint of its dispatcher, per slot of the target. The weight of a hint falls to 0 within a
 * second, and only two random targets are compared, so entries that received the same hints do not
 * all choose the same target.
 */
final class LoadBalancer {
  private static final double HINT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Load in requests per slot that is added for a target in another zone: an idle target there
   * ranks equal to a target in the own zone with one request per slot.
   */
  private static final double OTHER_ZONE_PENALTY = 1.0;

  private static final class TargetLoad {
    private int inFlight;
    private int loadHint;
    private long hintNanos;
  }

  private final AvailabilityZone zone;
  private final UniformRandomProvider random;
  private final Map<TargetId, TargetLoad> loadByTarget = new HashMap<>();

  LoadBalancer(AvailabilityZone zone, long seed) {
    this.zone = zone;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  void requestSent(TargetId target) {
    loadByTarget.computeIfAbsent(target, id -> new TargetLoad()).inFlight++;
  }

  void requestEnded(TargetId target) {
    TargetLoad load = loadByTarget.get(target);
    if (load != null) {
      load.inFlight--;
    }
  }

  void updateHint(long nowNanos, TargetId target, int loadHint) {
    TargetLoad load = loadByTarget.computeIfAbsent(target, id -> new TargetLoad());
    load.loadHint = loadHint;
    load.hintNanos = nowNanos;
  }

  /**
   * Compares a random candidate of the own zone, or of any zone when the own one has none, with a
   * random candidate of any zone.
   */
  Optional<TargetEntry> choose(long nowNanos, List<TargetEntry> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    List<TargetEntry> sameZone = new ArrayList<>();
    for (TargetEntry entry : candidates) {
      if (entry.spec().zone().equals(zone)) {
        sameZone.add(entry);
      }
    }
    List<TargetEntry> firstCandidates = sameZone.isEmpty() ? candidates : sameZone;
    TargetEntry first = firstCandidates.get(random.nextInt(firstCandidates.size()));
    TargetEntry second = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(score(nowNanos, second) < score(nowNanos, first) ? second : first);
  }

  private double score(long nowNanos, TargetEntry entry) {
    double penalty = entry.spec().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
    TargetLoad load = loadByTarget.get(entry.spec().id());
    if (load == null) {
      return penalty;
    }
    double hintWeight = Math.max(0, 1 - (nowNanos - load.hintNanos) / HINT_LIFETIME_NANOS);
    return (load.inFlight + load.loadHint * hintWeight) / Math.max(1, entry.spec().slots())
        + penalty;
  }
}
