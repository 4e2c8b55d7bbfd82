package io.coltsfootwheel.listener;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import reactor.core.Exceptions;
import reactor.netty.ChannelBindException;

/**
 * Binds the addresses that a process cannot run without. An address that is in use, as while the
 * process before still ends, is tried again for a limited time.
 *
 * <p>Usage: {@code binder.bind("client address " + address, server::bindNow)}.
 */
public final class ListenerBinder {
  /** Longer than the time that a stopping process has to end. */
  public static final Duration RETRY_TIMEOUT = Duration.ofSeconds(10);

  private static final long RETRY_INTERVAL_MILLIS = 50;

  private final Duration retryTimeout;
  private final BooleanSupplier stopRequested;
  private final Consumer<String> onFirstFailure;

  /**
   * Creates a binder.
   *
   * @param retryTimeout time for which an address in use is tried again
   * @param stopRequested whether the start of the process is to be given up
   * @param onFirstFailure receives the listener whose first try fails
   */
  public ListenerBinder(
      Duration retryTimeout, BooleanSupplier stopRequested, Consumer<String> onFirstFailure) {
    this.retryTimeout = retryTimeout;
    this.stopRequested = stopRequested;
    this.onFirstFailure = onFirstFailure;
  }

  /**
   * Returns a binder that tries each address once.
   *
   * @return the binder
   */
  public static ListenerBinder withoutRetry() {
    return new ListenerBinder(Duration.ZERO, () -> false, listener -> {});
  }

  /**
   * Binds an address; blocks until it is bound or given up.
   *
   * @param listener what the address is for, and the address, as in logs
   * @param attempt tries once to bind, and throws an exception on failure
   * @param <T> type of the bound listener
   * @return the bound listener
   * @throws ColtsfootwheelException with INVALID_SETTINGS when the address cannot be bound, or with
   *     SHUTTING_DOWN when a stop was requested meanwhile
   */
  public <T> T bind(String listener, Supplier<T> attempt) {
    long deadlineNanos = System.nanoTime() + retryTimeout.toNanos();
    Optional<T> bound = tryBind(listener, attempt, deadlineNanos);
    if (bound.isEmpty()) {
      onFirstFailure.accept(listener);
    }
    while (bound.isEmpty()) {
      awaitRetry(listener);
      bound = tryBind(listener, attempt, deadlineNanos);
    }
    return bound.get();
  }

  /** Returns nothing when the address is in use and there is time to try again. */
  private <T> Optional<T> tryBind(String listener, Supplier<T> attempt, long deadlineNanos) {
    try {
      return Optional.of(attempt.get());
    } catch (RuntimeException e) {
      if (isInUse(e) && System.nanoTime() - deadlineNanos < 0) {
        return Optional.empty();
      }
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS, listener + " cannot be bound", Exceptions.unwrap(e));
    }
  }

  private void awaitRetry(String listener) {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (stopRequested.getAsBoolean() || Thread.currentThread().isInterrupted()) {
      throw ColtsfootwheelException.of(
          ErrorKind.SHUTTING_DOWN, listener + " is in use, and the start was given up");
    }
  }

  /** Returns whether the address is in use, or is not yet one of this machine. */
  private static boolean isInUse(Throwable error) {
    return Stream.iterate(error, Objects::nonNull, Throwable::getCause)
        .anyMatch(ChannelBindException.class::isInstance);
  }
}
