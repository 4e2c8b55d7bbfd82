package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.ServiceSpec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;
import org.HdrHistogram.Histogram;

/**
 * Summary of a load run.
 *
 * <p>{@code answered}, {@code late} and {@code lost} add up to {@code sent}; {@code notRun}, {@code
 * run} and {@code unknown} add up to {@code lost}.
 *
 * @param sent requests that were due
 * @param answered requests that a target answered in time
 * @param late requests that a target answered late
 * @param lost requests to which no target responded
 * @param notRun lost requests that were not run
 * @param run lost requests that were run
 * @param unknown lost requests that may have been run
 * @param resent sends beyond the first of each request
 * @param p50Micros median latency of answered and late requests, from the due time
 * @param p99Micros 99th percentile of the same latency
 * @param maxMicros maximum of the same latency
 * @param imbalance per service, number of responses of the busiest target divided by the mean of
 *     its targets
 * @param targets per service, number of targets that responded
 * @param unavailableMicros longest time for which the keys of one hash slot were unavailable
 */
record LoadSummary(
    int sent,
    long answered,
    long late,
    long lost,
    long notRun,
    long run,
    long unknown,
    long resent,
    long p50Micros,
    long p99Micros,
    long maxMicros,
    Map<String, Double> imbalance,
    Map<String, Integer> targets,
    long unavailableMicros) {
  private static final long MAX_LATENCY_MICROS = 120_000_000L;
  private static final int PRECISION_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  /** Summarizes the records of a run, given in the order of due times. */
  static LoadSummary of(List<RequestRecord> records) {
    Histogram latency = new Histogram(MAX_LATENCY_MICROS, PRECISION_DIGITS);
    records.stream()
        .filter(record -> record.result().isFromTarget())
        .forEach(
            record ->
                latency.recordValue(
                    Math.max(0, Math.min(record.latencyMicros(), MAX_LATENCY_MICROS))));
    Map<String, Map<String, Long>> perTarget = perTarget(records);
    return new LoadSummary(
        records.size(),
        count(records, LoadResult.ANSWERED),
        count(records, LoadResult.LATE),
        records.stream().filter(record -> !record.result().isFromTarget()).count(),
        count(records, LoadResult.LOST_NOT_RUN),
        count(records, LoadResult.LOST_RUN),
        count(records, LoadResult.LOST_UNKNOWN),
        records.stream().mapToLong(record -> record.sends() - 1L).sum(),
        latency.getValueAtPercentile(50),
        latency.getValueAtPercentile(99),
        latency.getMaxValue(),
        mapValues(perTarget, LoadSummary::imbalanceOf),
        mapValues(perTarget, Map::size),
        longestUnavailableMicros(records));
  }

  /**
   * Returns the longest time for which the keys of one hash slot were unavailable.
   *
   * <p>That time begins when a request is due that is not answered in time, and ends with the next
   * response of a target for the same hash slot, or with the last response or failure of the run.
   */
  static long longestUnavailableMicros(List<RequestRecord> records) {
    Map<String, Long> unavailableSince = new TreeMap<>();
    long longestMicros = 0;
    long runEndMicros = 0;
    for (RequestRecord record : records) {
      runEndMicros = Math.max(runEndMicros, record.endMicros());
      String hashSlotGroup = hashSlotGroup(record);
      if (record.result() != LoadResult.ANSWERED) {
        unavailableSince.putIfAbsent(hashSlotGroup, record.dueMicros());
      }
      if (record.result().isFromTarget() && unavailableSince.containsKey(hashSlotGroup)) {
        longestMicros =
            Math.max(longestMicros, record.endMicros() - unavailableSince.remove(hashSlotGroup));
      }
    }
    for (long startMicros : unavailableSince.values()) {
      longestMicros = Math.max(longestMicros, runEndMicros - startMicros);
    }
    return longestMicros;
  }

  String text() {
    String imbalanceText =
        imbalance.entrySet().stream()
            .map(
                entry ->
                    "imbalance %s: %.2f (max/mean over %d targets)"
                        .formatted(entry.getKey(), entry.getValue(), targets.get(entry.getKey())))
            .collect(Collectors.joining("\n"));
    return """
        sent %d: answered %d, late %d, lost %d (not run %d, run %d, unknown %d); resends %d
        latency from due time: p50 %.1f ms, p99 %.1f ms, max %.1f ms
        %s
        longest unavailable time of one key group: %.0f ms"""
        .formatted(
            sent,
            answered,
            late,
            lost,
            notRun,
            run,
            unknown,
            resent,
            p50Micros / MICROS_PER_MILLI,
            p99Micros / MICROS_PER_MILLI,
            maxMicros / MICROS_PER_MILLI,
            imbalanceText,
            unavailableMicros / MICROS_PER_MILLI);
  }

  private static long count(List<RequestRecord> records, LoadResult result) {
    return records.stream().filter(record -> record.result() == result).count();
  }

  private static Map<String, Map<String, Long>> perTarget(List<RequestRecord> records) {
    Predicate<RequestRecord> hasTarget = record -> record.targetName().isPresent();
    return records.stream()
        .filter(hasTarget)
        .collect(
            Collectors.groupingBy(
                RequestRecord::service,
                TreeMap::new,
                Collectors.groupingBy(RequestRecord::target, TreeMap::new, Collectors.counting())));
  }

  private static double imbalanceOf(Map<String, Long> counts) {
    double mean = counts.values().stream().mapToLong(Long::longValue).average().orElse(1);
    return counts.values().stream().mapToLong(Long::longValue).max().orElse(1) / mean;
  }

  private static <V, R> Map<String, R> mapValues(
      Map<String, V> map, java.util.function.Function<V, R> function) {
    Map<String, R> result = new TreeMap<>();
    map.forEach((key, value) -> result.put(key, function.apply(value)));
    return result;
  }

  /**
   * Returns the hash slot of a request; its keys have one owner at a time and thus become
   * unavailable together. The unkeyed requests of a service form one group.
   */
  private static String hashSlotGroup(RequestRecord record) {
    if (record.key().isEmpty()) {
      return record.service();
    }
    long hash = LongHashFunction.xx().hashBytes(record.key().getBytes(StandardCharsets.UTF_8));
    return record.service() + "/" + Long.remainderUnsigned(hash, ServiceSpec.DEFAULT_HASH_SLOTS);
  }
}
