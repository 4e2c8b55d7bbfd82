package io.coltsfootwheel.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Computes the unavailable time of each key group from the requests of a load run.
 *
 * <p>For each request, its group counts as unavailable from the due time of the request until the
 * first response of a target to this or a later request of the group. The unavailable time of a
 * group is the longest such interval. Requests answered in time are included, because resends hide
 * a short loss.
 */
final class UnavailableTimes {
  /** Group, due time, end time and origin of the response of one request. */
  record Sample(String group, long dueMicros, long endMicros, boolean fromTarget) {}

  /** Longer times count as unavailability; shorter ones are mostly queueing and machine pauses. */
  static final long AFFECTED_THRESHOLD_MICROS = 250_000;

  private static final double MICROS_PER_MILLI = 1_000.0;

  private final List<Long> affectedGroupMicros;
  private final int groupCount;

  private UnavailableTimes(List<Long> affectedGroupMicros, int groupCount) {
    this.affectedGroupMicros = affectedGroupMicros;
    this.groupCount = groupCount;
  }

  /** Computes the unavailable times from samples that are sorted by due time. */
  static UnavailableTimes of(List<Sample> samples) {
    Map<String, List<Sample>> samplesByGroup =
        samples.stream()
            .collect(Collectors.groupingBy(Sample::group, TreeMap::new, Collectors.toList()));
    long runEndMicros = samples.stream().mapToLong(Sample::endMicros).max().orElse(0);
    List<Long> affectedGroupMicros =
        samplesByGroup.values().stream()
            .map(group -> longestMicros(group, runEndMicros))
            .filter(micros -> micros > AFFECTED_THRESHOLD_MICROS)
            .sorted()
            .toList();
    return new UnavailableTimes(affectedGroupMicros, samplesByGroup.size());
  }

  List<Long> affectedMicros() {
    return new ArrayList<>(affectedGroupMicros);
  }

  String summary() {
    return "unavailable p50=%.0f ms p99=%.0f ms max=%.0f ms (%d of %d key groups affected)"
        .formatted(
            percentile(0.5),
            percentile(0.99),
            percentile(1),
            affectedGroupMicros.size(),
            groupCount);
  }

  private static long longestMicros(List<Sample> group, long runEndMicros) {
    long nextResponseMicros = runEndMicros;
    long longestMicros = 0;
    for (int i = group.size() - 1; i >= 0; i--) {
      Sample sample = group.get(i);
      if (sample.fromTarget()) {
        nextResponseMicros = Math.min(nextResponseMicros, sample.endMicros());
      }
      longestMicros = Math.max(longestMicros, nextResponseMicros - sample.dueMicros());
    }
    return longestMicros;
  }

  private double percentile(double fraction) {
    if (affectedGroupMicros.isEmpty()) {
      return 0;
    }
    int rank = (int) Math.ceil(fraction * affectedGroupMicros.size());
    return affectedGroupMicros.get(Math.max(0, rank - 1)) / MICROS_PER_MILLI;
  }
}
