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
 * Summary of a load run; answered, late and lost add up to sent, and the last three are parts of
 * lost.
 *
 * @param sent requests that were due
 * @param answered requests that a target answered in time
 * @param late requests that a target answered late
 * @param lost requests without a target's response
 * @param notRun lost requests that were not run
 * @param run lost requests that were run
 * @param unknown lost requests that may have been run
 * @param resent sends beyond the first of each request
 * @param p50Micros median latency of answered and late requests, from the due time
 * @param p99Micros 99th percentile of the same
 * @param maxMicros highest of the same
 * @param imbalance per service, responses of the busiest target divided by the mean
 * @param targets per service, number of targets that responded
 * @param unavailableMicros longest time without a response in time for the keys of one hash slot
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
        longestGapMicros(records));
  }

  /**
   * Returns the longest gap: from the due time of a request that was not answered in time to the
   * next response for the same hash slot, or to the last event of the run.
   */
  static long longestGapMicros(List<RequestRecord> records) {
    Map<String, Long> gapStart = new TreeMap<>();
    long longest = 0;
    long runEnd = 0;
    for (RequestRecord record : records) {
      runEnd = Math.max(runEnd, record.endMicros());
      String group = group(record);
      if (record.result() != LoadResult.ANSWERED) {
        gapStart.putIfAbsent(group, record.dueMicros());
      }
      if (record.result().isFromTarget() && gapStart.containsKey(group)) {
        longest = Math.max(longest, record.endMicros() - gapStart.remove(group));
      }
    }
    for (long start : gapStart.values()) {
      longest = Math.max(longest, runEnd - start);
    }
    return longest;
  }

  String text() {
    String balance =
        imbalance.entrySet().stream()
            .map(
                e ->
                    "imbalance %s: %.2f (max/mean over %d targets)"
                        .formatted(e.getKey(), e.getValue(), targets.get(e.getKey())))
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
            balance,
            unavailableMicros / MICROS_PER_MILLI);
  }

  private static long count(List<RequestRecord> records, LoadResult result) {
    return records.stream().filter(record -> record.result() == result).count();
  }

  private static Map<String, Map<String, Long>> perTarget(List<RequestRecord> records) {
    Predicate<RequestRecord> named = record -> record.targetName().isPresent();
    return records.stream()
        .filter(named)
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
    Map<String, R> mapped = new TreeMap<>();
    map.forEach((key, value) -> mapped.put(key, function.apply(value)));
    return mapped;
  }

  /** Keys of one hash slot have one owner at a time, so they are unavailable together. */
  private static String group(RequestRecord record) {
    if (record.key().isEmpty()) {
      return record.service();
    }
    long hash = LongHashFunction.xx().hashBytes(record.key().getBytes(StandardCharsets.UTF_8));
    return record.service() + "/" + Long.remainderUnsigned(hash, ServiceSpec.DEFAULT_HASH_SLOTS);
  }
}
