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
 * Observed load of targets, and the choice between two random ones.
 *
 * <p>The score is what this entry has sent and not got back plus the newest hint of the target's
 * dispatcher. Hints fade within a second, and only two random targets are compared, so entries that
 * received the same hints do not all choose the same target.
 */
final class LoadBoard {
  private static final double HINT_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Load, in requests per slot, at which a target in another zone is as good as an idle one. */
  private static final double OTHER_ZONE_PENALTY = 1.0;

  private static final class Load {
    private int outstanding;
    private int hint;
    private long hintNanos;
  }

  private final AvailabilityZone zone;
  private final UniformRandomProvider random;
  private final Map<TargetId, Load> loads = new HashMap<>();

  LoadBoard(AvailabilityZone zone, long seed) {
    this.zone = zone;
    this.random = RandomSource.SPLIT_MIX_64.create(seed);
  }

  void sent(TargetId target) {
    loads.computeIfAbsent(target, t -> new Load()).outstanding++;
  }

  void returned(TargetId target) {
    Load load = loads.get(target);
    if (load != null) {
      load.outstanding--;
    }
  }

  void hint(long nowNanos, TargetId target, int hint) {
    Load load = loads.computeIfAbsent(target, t -> new Load());
    load.hint = hint;
    load.hintNanos = nowNanos;
  }

  /** Chooses between a random target of the own zone, if there is one, and a random one of all. */
  Optional<TargetEntry> choose(long nowNanos, List<TargetEntry> candidates) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    List<TargetEntry> near = new ArrayList<>();
    for (TargetEntry entry : candidates) {
      if (entry.spec().zone().equals(zone)) {
        near.add(entry);
      }
    }
    List<TargetEntry> firstFrom = near.isEmpty() ? candidates : near;
    TargetEntry first = firstFrom.get(random.nextInt(firstFrom.size()));
    TargetEntry second = candidates.get(random.nextInt(candidates.size()));
    return Optional.of(score(nowNanos, second) < score(nowNanos, first) ? second : first);
  }

  private double score(long nowNanos, TargetEntry entry) {
    double penalty = entry.spec().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
    Load load = loads.get(entry.spec().id());
    if (load == null) {
      return penalty;
    }
    double fade = Math.max(0, 1 - (nowNanos - load.hintNanos) / HINT_LIFE_NANOS);
    return (load.outstanding + load.hint * fade) / Math.max(1, entry.spec().slots()) + penalty;
  }
}
