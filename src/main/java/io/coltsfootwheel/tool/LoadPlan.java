package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Address;
import java.util.List;

/**
 * Parameters of a load run.
 *
 * @param entries HTTP addresses of instances, used in turn
 * @param keyedService keyed service, empty for none
 * @param unkeyedService unkeyed service, empty for none
 * @param unkeyedShare share of requests to the unkeyed service if both services are set
 * @param ratePerSecond number of requests due per second
 * @param durationSeconds length of the run
 * @param keys number of distinct keys
 * @param zipfExponent exponent of the Zipf distribution of the keys, 0 for a uniform one
 * @param nonIdempotentShare share of requests that carry an identity
 * @param deadlineMillis time limit of each request, including its resends
 * @param inTimeMillis highest latency at which a response is in time
 * @param resendsOnNotRun maximum number of resends of a request that was not run
 * @param seed seed of the random choices
 * @param runId prefix that makes request ids and identities unique
 * @param customer customer sent with each request, empty for none
 */
record LoadPlan(
    List<Address> entries,
    String keyedService,
    String unkeyedService,
    double unkeyedShare,
    int ratePerSecond,
    int durationSeconds,
    int keys,
    double zipfExponent,
    double nonIdempotentShare,
    int deadlineMillis,
    int inTimeMillis,
    int resendsOnNotRun,
    long seed,
    String runId,
    String customer) {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  LoadPlan {
    entries = List.copyOf(entries);
  }

  int totalRequests() {
    return Math.multiplyExact(ratePerSecond, durationSeconds);
  }

  /** Returns the due time of a request, in nanoseconds from the start of the run. */
  long dueNanos(int number) {
    return number * NANOS_PER_SECOND / ratePerSecond;
  }

  Address entry(int number) {
    return entries.get(Math.floorMod(number, entries.size()));
  }
}
