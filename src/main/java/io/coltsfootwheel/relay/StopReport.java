package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.LogEvent;

/**
 * Work that a relay has left while it stops.
 *
 * @param openConnections open client connections
 * @param busyConnections client connections with a request or response in progress
 * @param forwardedRequests requests in progress at a target
 * @param refusedRequests requests refused since the relay began to stop
 * @param limitReached whether the time limit of the stop has passed
 */
public record StopReport(
    int openConnections,
    int busyConnections,
    int forwardedRequests,
    long refusedRequests,
    boolean limitReached) {
  /**
   * Adds the report to a log event.
   *
   * @param event the event
   * @return the event with one field for each component
   */
  public LogEvent addTo(LogEvent event) {
    return event
        .with("open_connections", openConnections)
        .with("busy", busyConnections)
        .with("forwarded", forwardedRequests)
        .with("refused", refusedRequests)
        .with("limit_reached", limitReached);
  }
}
