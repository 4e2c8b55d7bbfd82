package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.ErrorKind;
import java.util.Optional;

/**
 * Measures the time to handle one offered request and its reply, and the memory of one identity
 * record.
 *
 * <p>Not part of the test run; run {@link #main} with the test class path.
 */
final class DispatchBenchmark {
  private static final int ROUNDS = 6;
  private static final int REQUESTS = 1_000_000;
  private static final int RECORDS = 500_000;

  private DispatchBenchmark() {}

  public static void main(String[] args) {
    for (int round = 0; round < ROUNDS; round++) {
      System.out.printf(
          "round %d: %.0f ns per request and reply without identity, %.0f ns with identity%n",
          round, nanosPerRequest(false), nanosPerRequest(true));
    }
    System.out.printf("%.0f bytes per ended identity record%n", bytesPerRecord());
  }

  private static double nanosPerRequest(boolean withIdentity) {
    DispatchSettings settings = new DispatchSettings(8, 2 * REQUESTS, 600_000);
    DispatchFixture fixture = new DispatchFixture(true, settings).warmUp();
    DispatchRequest[] requests = new DispatchRequest[REQUESTS];
    for (int i = 0; i < REQUESTS; i++) {
      Optional<RequestIdentity> identity =
          withIdentity ? Optional.of(DispatchFixture.stamped("i" + i, 1_000)) : Optional.empty();
      requests[i] = fixture.request("entry-1/s1/" + i, 1, 5_000, Optional.of("c1"), identity);
    }
    TargetReply reply = new TargetReply.Completed(200);
    long startNanos = System.nanoTime();
    for (DispatchRequest request : requests) {
      fixture.reducer.apply(new DispatchEvent.RequestOffered(fixture.nowNanos(), request));
      fixture.reducer.apply(
          new DispatchEvent.TargetReplied(fixture.nowNanos(), request.requestId(), reply));
    }
    return (System.nanoTime() - startNanos) / (double) REQUESTS;
  }

  private static double bytesPerRecord() {
    IdentityTable table = new IdentityTable(new DispatchSettings(8, RECORDS, 600_000), 0);
    long usedBefore = usedHeapBytes();
    for (int i = 0; i < RECORDS; i++) {
      String value = "123456." + "abcdefghijklmnopqrstuv" + ":" + (1_000_000_000_000L + i);
      RequestIdentity identity = DispatchFixture.stamped(value, 1_000);
      table.begin(0, identity, false, 0, 0);
      table.recordUnknown(0, identity, ErrorKind.TARGET_FAILED);
    }
    double bytes = (usedHeapBytes() - usedBefore) / (double) table.size();
    table.expire(1);
    return bytes;
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 5; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
