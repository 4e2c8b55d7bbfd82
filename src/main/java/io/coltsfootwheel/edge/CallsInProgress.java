package io.coltsfootwheel.edge;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;

/** Counts the calls of a server, so that its shutdown can wait until they are answered. */
final class CallsInProgress {
  private static final Logger LOGGER = LogManager.getLogger(CallsInProgress.class);
  private static final long POLL_INTERVAL_MILLIS = 10;

  private final AtomicInteger calls = new AtomicInteger();

  /** Counts a call from its subscription until its response is written or has failed. */
  Mono<Void> count(Mono<Void> call) {
    return Mono.defer(
        () -> {
          calls.incrementAndGet();
          return call.doFinally(signal -> calls.decrementAndGet());
        });
  }

  /** Waits until no call is in progress or the timeout has passed. */
  void awaitNone(Duration timeout) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (calls.get() > 0 && System.nanoTime() - deadlineNanos < 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
    }
    int remaining = calls.get();
    if (remaining > 0) {
      LOGGER.warn("{} calls are still in progress after {} ms", remaining, timeout.toMillis());
    }
  }
}
