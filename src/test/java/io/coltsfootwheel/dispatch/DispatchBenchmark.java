package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import java.util.Optional;

/**
 * Prints the time of one offered request with its reply, and the memory of one identity record.
 *
 * <p>Run it from the test class path; it is not part of the test run.
 */
final class DispatchBenchmark {
  private static final int ROUNDS = 6;
  private static final int REQUESTS = 1_000_000;
  private static final int RECORDS = 500_000;

  private DispatchBenchmark() {}

  public static void main(String[] args) {
    for (int round = 0; round < ROUNDS; round++) {
      System.out.printf(
          "round %d: %.0f ns per pair without identity, %.0f ns with identity%n",
          round, pairNanos(false), pairNanos(true));
    }
    System.out.printf("%.0f bytes per ended identity record%n", recordBytes());
  }

  private static double pairNanos(boolean withIdentity) {
    DispatchSettings settings = new DispatchSettings(8, 2 * REQUESTS, 600_000);
    DispatchFixture f = new DispatchFixture(true, settings).warm();
    DispatchRequest[] requests = new DispatchRequest[REQUESTS];
    for (int i = 0; i < REQUESTS; i++) {
      Optional<RequestIdentity> identity =
          withIdentity ? Optional.of(DispatchFixture.stamped("i" + i, 1_000)) : Optional.empty();
      requests[i] = f.request("entry-1/s1/" + i, 1, 5_000, Optional.of("c1"), identity);
    }
    TargetReply reply = new TargetReply.Completed(200);
    long startNanos = System.nanoTime();
    for (DispatchRequest request : requests) {
      f.reducer.apply(new DispatchEvent.RequestOffered(f.now(), request));
      f.reducer.apply(new DispatchEvent.TargetReplied(f.now(), request.requestId(), reply));
    }
    return (System.nanoTime() - startNanos) / (double) REQUESTS;
  }

  private static double recordBytes() {
    IdentityTable table = new IdentityTable(new DispatchSettings(8, RECORDS, 600_000), 0);
    long before = usedBytes();
    for (int i = 0; i < RECORDS; i++) {
      String value = "123456." + "abcdefghijklmnopqrstuv" + ":" + (1_000_000_000_000L + i);
      RequestIdentity identity = DispatchFixture.stamped(value, 1_000);
      table.begin(0, identity, false, 0, 0);
      table.unknown(0, identity, ErrorKind.TARGET_FAILED);
    }
    double bytes = (usedBytes() - before) / (double) table.size();
    table.expire(1);
    return bytes;
  }

  private static long usedBytes() {
    for (int i = 0; i < 5; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
