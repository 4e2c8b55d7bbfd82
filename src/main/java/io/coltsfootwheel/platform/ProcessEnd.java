package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.eventlog.StandardStreams;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Ends the process with a status and a log line that names what has failed. The platform starts a
 * process again only when it has ended.
 */
final class ProcessEnd {
  private static final int EXIT_STOPPED = 0;
  private static final int EXIT_FAILED = 1;
  private static final long BYTES_PER_MB = 1024 * 1024;

  /** Room for the last lines of a process whose heap is used up. */
  private static final int HEAP_RESERVE_BYTES = 512 * 1024;

  private static final Logger LOGGER = LogManager.getLogger(ProcessEnd.class);

  private final StandardStreams streams;
  private final IntConsumer exit;

  /** Released before a failure is logged. */
  private Optional<byte[]> heapReserve = Optional.of(new byte[HEAP_RESERVE_BYTES]);

  /**
   * Creates an end.
   *
   * @param streams streams whose last lines are awaited for a limited time
   * @param exit ends the process with a status, also while its threads run
   */
  ProcessEnd(StandardStreams streams, IntConsumer exit) {
    this.streams = streams;
    this.exit = exit;
  }

  /** Ends the process after a stop that was requested. */
  void stopped() {
    exit(EXIT_STOPPED);
  }

  /**
   * Ends the process because a part of it has failed. A start that was given up because a stop was
   * requested is no failure.
   */
  void failed(String part, Throwable error) {
    if (error instanceof ColtsfootwheelException e && e.kind() == ErrorKind.SHUTTING_DOWN) {
      LOGGER.info(e.getMessage());
      exit(EXIT_STOPPED);
      return;
    }
    fail(part, "", error);
  }

  /** Ends the process because the decision on an event has failed. */
  void failedDecision(Class<?> eventType, Throwable error) {
    fail("decision loop", eventType.getSimpleName(), error);
  }

  /** Also ends the process when the failure is a lack of memory, and nothing can be logged. */
  private void fail(String part, String decisionEvent, Throwable error) {
    long usedHeapBytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    heapReserve = Optional.empty();
    try {
      logStackTrace(part, error);
      logFailure(
          LogEvent.of("process.failed")
              .with("part", part)
              .with("decision_event", decisionEvent)
              .with("error", error)
              .with("at", firstFrame(error))
              .with("heap_used_mb", usedHeapBytes / BYTES_PER_MB)
              .with("heap_max_mb", Runtime.getRuntime().maxMemory() / BYTES_PER_MB));
    } finally {
      exit(EXIT_FAILED);
    }
  }

  private static void logStackTrace(String part, Throwable error) {
    try {
      LOGGER.error("{} failed", part, error);
    } catch (RuntimeException | Error e) {
      // The line that names the failure follows, and is more important.
    }
  }

  private void logFailure(LogEvent event) {
    EventLog log = new EventLog(streams.directOutput()::println, Map.of());
    log.write(event);
    try {
      log.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns where the error was thrown; the Java machine may leave out stack traces. */
  private static String firstFrame(Throwable error) {
    return Arrays.stream(error.getStackTrace())
        .findFirst()
        .map(StackTraceElement::toString)
        .orElse("");
  }

  private void exit(int status) {
    try {
      streams.awaitLastLines();
    } finally {
      exit.accept(status);
    }
  }
}
