package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.eventlog.StandardStreams;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.util.Map;
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
  private static final Logger LOGGER = LogManager.getLogger(ProcessEnd.class);

  private final StandardStreams streams;
  private final IntConsumer exit;

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
    try {
      LOGGER.error("{} failed", part, error);
      EventLog log = new EventLog(streams.directOutput()::println, Map.of());
      log.write(LogEvent.of("process.failed").with("part", part).with("error", error));
      log.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      // Also when the failure is a lack of memory, and nothing can be logged.
      exit(EXIT_FAILED);
    }
  }

  private void exit(int status) {
    try {
      streams.awaitLastLines();
    } finally {
      exit.accept(status);
    }
  }
}
