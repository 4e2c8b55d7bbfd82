package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.runtime.LatenessMonitor;

/** Logs how late the thread on which a process decides handles its events. */
final class DecisionLateness {
  private final EventLog log;
  private final LatenessMonitor monitor = new LatenessMonitor(System.nanoTime());

  /**
   * Creates a record whose first interval begins now.
   *
   * @param log structured log
   */
  DecisionLateness(EventLog log) {
    this.log = log;
  }

  /**
   * Records that an event is handled now.
   *
   * @param dueNanos time at which the event arrived or was due
   */
  void record(long dueNanos) {
    monitor
        .record(System.nanoTime(), dueNanos)
        .ifPresent(millis -> log.write(LogEvent.of("decisions.late").with("late_ms", millis)));
  }
}
