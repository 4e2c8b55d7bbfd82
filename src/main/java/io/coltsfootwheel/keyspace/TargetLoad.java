package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the entries together observe of one target: requests in flight and time per request. */
final class TargetLoad {
  private static final long TIME_CONSTANT_MILLIS = 4_000;

  /** Reports of an entry that is gone must not count for longer than this. */
  private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Weight of the assumed time per request until requests were observed. */
  private static final double PRIOR_REQUESTS = 4;

  private static final double PRIOR_SECONDS_PER_REQUEST = 0.12;
  private static final long MAX_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Map<InstanceId, Observation> byEntry = new HashMap<>();
  private final DecayingSum busySlotSeconds = new DecayingSum(TIME_CONSTANT_MILLIS);
  private final DecayingSum completed = new DecayingSum(TIME_CONSTANT_MILLIS);
  private long sampledNanos;

  private record Observation(long nowNanos, int inFlight) {}

  /** Adds the report of one entry. */
  void add(long nowNanos, InstanceId entry, int slots, int inFlight, int completedRequests) {
    byEntry.put(entry, new Observation(nowNanos, inFlight));
    completed.add(nowNanos, completedRequests);
    if (sampledNanos != 0) {
      long spanNanos = Math.min(MAX_SAMPLE_NANOS, nowNanos - sampledNanos);
      double busy = Math.min(slots, inFlight(nowNanos));
      busySlotSeconds.add(nowNanos, busy * spanNanos / TimeUnit.SECONDS.toNanos(1));
    }
    sampledNanos = nowNanos;
  }

  int inFlight(long nowNanos) {
    byEntry.values().removeIf(o -> nowNanos - o.nowNanos() > REPORT_VALID_NANOS);
    return byEntry.values().stream().mapToInt(Observation::inFlight).sum();
  }

  TargetPressure pressure(long nowNanos) {
    return new TargetPressure(
        inFlight(nowNanos), (int) (secondsPerRequest(nowNanos) * TimeUnit.SECONDS.toMillis(1)));
  }

  /** Returns the slot time that one request takes; a slow target takes more. */
  double secondsPerRequest(long nowNanos) {
    return (busySlotSeconds.at(nowNanos) + PRIOR_REQUESTS * PRIOR_SECONDS_PER_REQUEST)
        / (completed.at(nowNanos) + PRIOR_REQUESTS);
  }
}
