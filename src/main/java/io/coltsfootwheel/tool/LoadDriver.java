package io.coltsfootwheel.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;

/** Sends requests at their due times, without waiting for earlier responses (open loop). */
final class LoadDriver {
  private static final long STAMP_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long STAMP_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final LoadPlan plan;
  private final LoadSender sender;

  LoadDriver(LoadPlan plan) {
    this.plan = plan;
    this.sender = new LoadSender(plan);
  }

  /** Runs the plan and returns one record for each request, in the order of due times. */
  List<RequestRecord> run() throws InterruptedException {
    int total = plan.totalRequests();
    AtomicReferenceArray<RequestRecord> records = new AtomicReferenceArray<>(total);
    CountDownLatch pendingRequests = new CountDownLatch(total);
    LoadSchedule schedule = new LoadSchedule(plan);
    fetchStamp();
    long startNanos = System.nanoTime();
    for (int number = 0; number < total; number++) {
      waitUntil(startNanos + plan.dueNanos(number));
      LoadRequest request = schedule.next(number, sender.stamp());
      sender
          .send(request)
          .subscribe(
              sendResult -> {
                records.set(request.number(), record(request, sendResult, startNanos));
                pendingRequests.countDown();
              });
    }
    pendingRequests.await();
    List<RequestRecord> recordsInOrder = new ArrayList<>(total);
    for (int number = 0; number < total; number++) {
      recordsInOrder.add(records.get(number));
    }
    return recordsInOrder;
  }

  /**
   * Sends requests until a response carries a stamp, for at most {@link #STAMP_WAIT_NANOS}, so that
   * the first identities have a stamp too.
   */
  private void fetchStamp() {
    if (plan.nonIdempotentShare() == 0) {
      return;
    }
    long deadlineNanos = System.nanoTime() + STAMP_WAIT_NANOS;
    int number = 0;
    while (sender.stamp().isEmpty() && System.nanoTime() < deadlineNanos) {
      String service = plan.keyedService().isEmpty() ? plan.unkeyedService() : plan.keyedService();
      String key = plan.keyedService().isEmpty() ? "" : "key-0";
      String id = plan.runId() + "-stamp-" + number;
      sender.send(new LoadRequest(number, id, service, key, "", 0)).block();
      number++;
      LockSupport.parkNanos(STAMP_POLL_NANOS);
    }
  }

  private RequestRecord record(
      LoadRequest request, LoadSender.SendResult sendResult, long startNanos) {
    long endMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
    long dueMicros = TimeUnit.NANOSECONDS.toMicros(request.dueNanos());
    long inTimeMicros = TimeUnit.MILLISECONDS.toMicros(plan.inTimeMillis());
    LoadSender.Response response = sendResult.response();
    return new RequestRecord(
        request.number(),
        request.id(),
        request.service(),
        request.key(),
        request.identity(),
        dueMicros,
        endMicros,
        response.result(endMicros - dueMicros, inTimeMicros),
        response.status(),
        response.code(),
        response.target(),
        sendResult.sends());
  }

  private static void waitUntil(long nanos) {
    long remaining = nanos - System.nanoTime();
    while (remaining > 0) {
      LockSupport.parkNanos(remaining);
      remaining = nanos - System.nanoTime();
    }
  }
}
