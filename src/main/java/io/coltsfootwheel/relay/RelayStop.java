package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Stop of a relay as a state machine. All transitions run on the relay's event loop, which also
 * accepts, registers and reads client connections.
 */
final class RelayStop {
  private static final long CHECK_INTERVAL_MILLIS = 20;

  /** Time after the limit in which the last refusals are written. */
  private static final long FLUSH_MILLIS = 100;

  private final EventLoop eventLoop;
  private final EventLog log;
  private final Set<ClientHandler> clients;
  private final Set<RelayExchange> exchanges;
  private final Sinks.One<StopReport> stopped = Sinks.one();
  private volatile StopState state = StopState.SERVING;
  private Optional<Channel> listener = Optional.empty();
  private long refusedCount;
  private boolean limitReached;

  RelayStop(
      EventLoop eventLoop, EventLog log, Set<ClientHandler> clients, Set<RelayExchange> exchanges) {
    this.eventLoop = eventLoop;
    this.log = log;
    this.clients = clients;
    this.exchanges = exchanges;
  }

  /** Returns the current state; may be called from any thread. */
  StopState state() {
    return state;
  }

  void listenerBound(Channel channel) {
    listener = Optional.of(channel);
  }

  void countRefusal() {
    if (state != StopState.SERVING) {
      refusedCount++;
    }
  }

  void announce() {
    if (state == StopState.SERVING) {
      state = StopState.ANNOUNCING;
    }
  }

  /**
   * Drains the relay; a later call has no effect but to return the same result.
   *
   * @param limitMillis time after which the remaining connections are closed
   * @return completes when all connections are closed
   */
  Mono<StopReport> drain(long limitMillis) {
    if (!state.refusesRequests()) {
      state = StopState.DRAINING;
      eventLoop.schedule(this::reachLimit, limitMillis, TimeUnit.MILLISECONDS);
      // One interval passes before the listener closes, so that connections in its backlog are
      // accepted and their requests refused instead of reset.
      scheduleCheck();
    }
    return stopped.asMono();
  }

  StopReport report() {
    return new StopReport(
        clients.size(),
        (int) clients.stream().filter(ClientHandler::isBusy).count(),
        (int) exchanges.stream().filter(RelayExchange::isForwarded).count(),
        refusedCount,
        limitReached);
  }

  private void scheduleCheck() {
    eventLoop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check() {
    if (state == StopState.STOPPED) {
      return;
    }
    List.copyOf(clients).forEach(ClientHandler::closeForStop);
    if (listener.isPresent()) {
      Channel closing = listener.get();
      listener = Optional.empty();
      closing.close().addListener(closed -> onListenerClosed());
    } else if (clients.isEmpty()) {
      finish();
    } else {
      scheduleCheck();
    }
  }

  private void onListenerClosed() {
    log.write(report().addTo(LogEvent.of("stop.listener_closed")));
    scheduleCheck();
  }

  /**
   * Refuses what no target works on. A request at a target gets no response of the relay, because
   * the target may still execute it.
   */
  private void reachLimit() {
    if (state == StopState.STOPPED) {
      return;
    }
    limitReached = true;
    log.write(report().addTo(LogEvent.of("stop.limit_reached")));
    List.copyOf(exchanges).forEach(RelayExchange::refuseUnlessForwarded);
    List.copyOf(clients).forEach(ClientHandler::refuseIncompleteRequest);
    eventLoop.schedule(this::finish, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void finish() {
    if (state == StopState.STOPPED) {
      return;
    }
    state = StopState.STOPPED;
    StopReport report = report();
    log.write(report.addTo(LogEvent.of("stop.drained")));
    listener.ifPresent(Channel::close);
    List.copyOf(clients).forEach(ClientHandler::close);
    stopped.tryEmitValue(report);
  }
}
