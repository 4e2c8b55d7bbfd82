package io.coltsfootwheel.deployment;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;

/** Tells from the induced outages when machines are in touch and when the core is stable. */
final class ContactTimes {
  private final List<Outage> outages;
  private final List<Outage> coreOutages;
  private final int coreSize;

  ContactTimes(List<Outage> outages, int coreSize) {
    this.outages = outages;
    this.coreOutages = outages.stream().filter(Outage::isCore).toList();
    this.coreSize = coreSize;
  }

  /** Returns whether a machine is in touch in all of an interval. */
  boolean isInTouch(String machine, long fromMillis, long toMillis) {
    return hasRun(machine, fromMillis, toMillis) && isCoreStable(fromMillis, toMillis);
  }

  /** Returns whether a machine ran in an interval and in the contact window before it. */
  boolean hasRun(String machine, long fromMillis, long toMillis) {
    long windowMillis = fromMillis - Bounds.CONTACT_WINDOW_MILLIS;
    return outages.stream()
        .noneMatch(o -> o.machine().equals(machine) && o.intersects(windowMillis, toMillis));
  }

  /** Returns whether the core is stable in all of an interval. */
  boolean isCoreStable(long fromMillis, long toMillis) {
    long windowMillis = fromMillis - Bounds.CONTACT_WINDOW_MILLIS;
    return coreOutages.stream().noneMatch(o -> o.hasEndpointIn(windowMillis, toMillis))
        && isMajorityUp(toMillis);
  }

  /** Returns whether more than half of the core runs at each moment of an interval. */
  boolean hasCoreMajority(long fromMillis, long toMillis) {
    return Stream.concat(
            Stream.of(fromMillis),
            coreOutages.stream()
                .map(Outage::beginMillis)
                .filter(begin -> fromMillis < begin && begin <= toMillis))
        .allMatch(this::isMajorityUp);
  }

  private boolean isMajorityUp(long millis) {
    long downCount =
        coreOutages.stream()
            .filter(o -> o.intersects(millis, millis))
            .map(Outage::machine)
            .distinct()
            .count();
    return 2 * (coreSize - downCount) > coreSize;
  }

  /** Returns the length of the longest stretch of an interval in which the core is stable. */
  long longestStableMillis(long fromMillis, long toMillis) {
    SortedSet<Long> cuts = new TreeSet<>(List.of(fromMillis, toMillis));
    coreOutages.stream()
        .flatMap(o -> Stream.of(o.beginMillis(), o.endMillis()))
        .filter(millis -> millis < toMillis)
        .flatMap(millis -> Stream.of(millis, millis + Bounds.CONTACT_WINDOW_MILLIS + 1))
        .filter(millis -> fromMillis < millis && millis < toMillis)
        .forEach(cuts::add);
    long longest = 0;
    long stretch = 0;
    long previous = fromMillis;
    for (long cut : cuts) {
      stretch = isCoreStable(previous, Math.max(previous, cut - 1)) ? stretch + cut - previous : 0;
      longest = Math.max(longest, stretch);
      previous = cut;
    }
    return longest;
  }
}
