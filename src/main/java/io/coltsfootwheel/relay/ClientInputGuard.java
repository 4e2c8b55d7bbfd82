package io.coltsfootwheel.relay;

import io.coltsfootwheel.listener.ConnectionMemoryBudget;
import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the memory and the time of input from a client that is not yet a request: bytes that are
 * held back, and a head that is received in part.
 */
final class ClientInputGuard implements ConnectionMemoryBudget.Holder {
  /** Time in which a process that did not run for a while reads what has arrived meanwhile. */
  private static final long GRACE_MILLIS = 200;

  private final Channel channel;
  private final ClientRequestDecoder decoder;
  private final ConnectionMemoryBudget budget;
  private final Runnable onAborted;
  private Runnable onHeadLate = () -> {};
  private long usedBytes;
  private Optional<Long> headStartNanos = Optional.empty();
  private boolean isHeadOverdue;
  private Optional<ScheduledFuture<?>> check = Optional.empty();
  private long checkNanos;

  /**
   * Creates a guard.
   *
   * @param channel connection of the client
   * @param decoder decodes its requests
   * @param budget memory of all clients
   * @param onAborted closes the connection because input uses too much memory
   */
  ClientInputGuard(
      Channel channel,
      ClientRequestDecoder decoder,
      ConnectionMemoryBudget budget,
      Runnable onAborted) {
    this.channel = channel;
    this.decoder = decoder;
    this.budget = budget;
    this.onAborted = onAborted;
  }

  /** Sets what ends a connection whose head is not complete in time. */
  void onHeadLate(Runnable action) {
    onHeadLate = action;
  }

  /** Returns the bytes that were passed on and are not decoded. */
  int undecodedBytes() {
    return decoder.undecodedBytes();
  }

  /** Returns the memory of the head that was decoded last. */
  long headBytes() {
    return decoder.headBytes();
  }

  /**
   * Updates memory and time after input was received, held back or passed on.
   *
   * @param heldBytes memory of input that is held back
   * @param suspended whether the relay, not the client, delays the input
   */
  void inputChanged(long heldBytes, boolean suspended) {
    updateHeadTime(suspended);
    long bytes = heldBytes + decoder.usedBytes();
    if (bytes != usedBytes && channel.isActive()) {
      usedBytes = bytes;
      budget.set(this, bytes);
    }
  }

  private void updateHeadTime(boolean suspended) {
    if (suspended || !decoder.isInsideHead()) {
      headStartNanos = Optional.empty();
      isHeadOverdue = false;
    } else if (headStartNanos.isEmpty() && headTimeoutMillis() > 0) {
      headStartNanos = Optional.of(System.nanoTime());
      scheduleFirstCheck();
    }
  }

  /** Returns the time in which the current head must be complete, 0 for no limit. */
  private long headTimeoutMillis() {
    return decoder.limits().headerTimeoutMillis();
  }

  /** Keeps the check for an earlier head, unless its version allowed that head more time. */
  private void scheduleFirstCheck() {
    long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(headTimeoutMillis());
    boolean isEarlier = check.isEmpty() || dueNanos - checkNanos < 0;
    if (isEarlier) {
      check.ifPresent(task -> task.cancel(false));
      scheduleCheck(headTimeoutMillis());
    }
  }

  private void scheduleCheck(long delayMillis) {
    checkNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    check =
        Optional.of(
            channel
                .eventLoop()
                .schedule(this::checkHead, Math.max(1, delayMillis), TimeUnit.MILLISECONDS));
  }

  private void checkHead() {
    check = Optional.empty();
    if (headStartNanos.isEmpty() || !channel.isActive()) {
      return;
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - headStartNanos.get());
    if (ageMillis < headTimeoutMillis()) {
      scheduleCheck(headTimeoutMillis() - ageMillis);
    } else if (isHeadOverdue) {
      onHeadLate.run();
    } else {
      isHeadOverdue = true;
      scheduleCheck(GRACE_MILLIS);
    }
  }

  @Override
  public void abort() {
    onAborted.run();
  }

  /** Stops counting because the connection has ended. */
  void close() {
    budget.remove(this);
    check.ifPresent(task -> task.cancel(false));
  }
}
