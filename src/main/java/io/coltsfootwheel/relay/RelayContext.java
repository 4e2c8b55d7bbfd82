package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.model.ServiceName;
import java.util.concurrent.Future;
import java.util.function.Supplier;

/** Services that a relay provides to its exchanges; confined to the relay's event loop. */
interface RelayContext {
  RoutingState routing();

  TargetChooser chooser();

  FleetRetryBudget retryBudget();

  /** Returns the demand by priority and what is reserved for more urgent requests. */
  PriorityReserve priorityReserve();

  ClientDeadlineTracker deadlineTracker();

  TargetConnections connections();

  ProtocolHeaderNames headerNames();

  TargetNoticeReader noticeReader();

  TargetLoadReader loadReader();

  TargetOverloadRecorder overload();

  /** Returns a random number, uniformly distributed in [0, 1). */
  double nextRandom();

  /** Runs a task on the event loop after a delay; returns the handle that cancels it. */
  Future<?> schedule(Runnable task, long delayMillis);

  /** Counts a request for a key in the next load report to the leader. */
  void countKey(ServiceName service, int key);

  /** Returns the permits for cold targets that the next load report asks for. */
  PermitDemand permitDemand();

  /** Counts a permit that was used for a request. */
  void countUsedPermit();

  /** Returns the time since the last contact with the leader. */
  long leaderContactAgeMillis();

  /** Returns how old the routes, targets and owners in use may be. */
  RoutingFreshness freshness();

  /** Counts a retry in the metrics. */
  void countRetry();

  /** Records the outcome of a request; the log event is created only if it is written. */
  void record(String outcome, long durationNanos, Supplier<LogEvent> event);

  /** Releases the body of a request, and stops counting its memory. */
  void releaseBody(RelayRequest request);

  /** Removes a completed exchange. */
  void removeExchange(RelayExchange exchange);

  /** Returns whether new requests are refused because the process stops. */
  boolean refusesRequests();
}
