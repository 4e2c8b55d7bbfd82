package io.coltsfootwheel.loadcontrol;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Reserves slots of a service for its more urgent requests.
 *
 * <p>Designed for a burst of less urgent requests that fills all targets with queues which they can
 * bear and more urgent ones cannot. See docs/design/priorities.md.
 */
public final class SlotReserve {
  /**
   * Standard deviations of the slots in use that the reserve exceeds the demand by. The slots in
   * use by random arrivals are Poisson distributed, so their variance equals the demand.
   */
  private static final double MARGIN_DEVIATIONS = 2;

  /** Largest part of the slots that is reserved; less urgent requests keep the rest. */
  private static final double MAX_RESERVED_RATIO = 0.5;

  /**
   * Free slots below which a service is short of capacity, as a fraction of all slots. Within the
   * age of the estimates a burst of twice the usual load occupies an eighth of the slots.
   */
  private static final double SHORT_FREE_RATIO = 0.125;

  private SlotReserve() {}

  /**
   * Use of the slots of one target.
   *
   * @param target the target
   * @param slots requests that it executes at the same time
   * @param inFlight requests in flight
   * @param millisPerRequest time for which one request occupies a slot
   * @param usable whether a request should be sent to it while there are others
   * @param <T> identifies a target
   */
  public record SlotUse<T>(
      T target, int slots, int inFlight, double millisPerRequest, boolean usable) {
    private int freeSlots() {
      return usable ? Math.max(0, slots - inFlight) : 0;
    }
  }

  /**
   * Returns the slots that are reserved against each priority: the demand of the more urgent ones
   * and a margin. Requests of the priority and of less urgent ones can take no more than their own
   * demand, so more is not reserved.
   *
   * @param demandSlots demand by priority, in slots; 0 is the highest priority
   * @param totalSlots slots of the service
   * @return reserved slots by priority, without the most urgent one
   */
  public static SortedMap<Integer, Integer> reservedAgainst(
      SortedMap<Integer, Double> demandSlots, int totalSlots) {
    SortedMap<Integer, Integer> reserved = new TreeMap<>();
    double moreUrgentSlots = 0;
    double remainingSlots = demandSlots.values().stream().mapToDouble(d -> d).sum();
    for (Map.Entry<Integer, Double> demand : demandSlots.entrySet()) {
      if (moreUrgentSlots > 0) {
        double wanted = moreUrgentSlots + MARGIN_DEVIATIONS * Math.sqrt(moreUrgentSlots);
        double bound = Math.min(remainingSlots, MAX_RESERVED_RATIO * totalSlots);
        reserved.put(demand.getKey(), (int) Math.min(Math.ceil(wanted), bound));
      }
      moreUrgentSlots += demand.getValue();
      remainingSlots -= demand.getValue();
    }
    return reserved;
  }

  /**
   * Returns the targets that a request may use: all, or all but the fastest ones that are reserved
   * while the service is short of capacity.
   *
   * @param targets the targets of the service
   * @param reservedSlots slots that are reserved against the priority of the request
   * @param <T> identifies a target
   * @return targets that the request may use
   */
  public static <T> List<T> openTargets(List<SlotUse<T>> targets, int reservedSlots) {
    List<T> all = targets.stream().map(SlotUse::target).toList();
    if (reservedSlots <= 0 || !isShort(targets)) {
      return all;
    }
    int usableSlots = targets.stream().filter(SlotUse::usable).mapToInt(SlotUse::slots).sum();
    int maxReservedSlots = (int) (MAX_RESERVED_RATIO * usableSlots);
    Set<T> reserved = fastest(targets, Math.min(reservedSlots, maxReservedSlots));
    boolean isAnyOpenUsable =
        targets.stream().anyMatch(t -> t.usable() && !reserved.contains(t.target()));
    return isAnyOpenUsable ? all.stream().filter(t -> !reserved.contains(t)).toList() : all;
  }

  private static <T> boolean isShort(List<SlotUse<T>> targets) {
    int totalSlots = targets.stream().mapToInt(SlotUse::slots).sum();
    int freeSlots = targets.stream().mapToInt(SlotUse::freeSlots).sum();
    return freeSlots < SHORT_FREE_RATIO * totalSlots;
  }

  /** Returns the fastest targets, as many as fit into the reserved slots. */
  private static <T> Set<T> fastest(List<SlotUse<T>> targets, int reservedSlots) {
    List<SlotUse<T>> byTime =
        targets.stream()
            .filter(SlotUse::usable)
            .sorted(Comparator.comparingDouble(SlotUse::millisPerRequest))
            .toList();
    Set<T> fastest = new HashSet<>();
    int remainingSlots = reservedSlots;
    for (SlotUse<T> target : byTime) {
      if (target.slots() > remainingSlots) {
        break;
      }
      remainingSlots -= target.slots();
      fastest.add(target.target());
    }
    return fastest;
  }
}
