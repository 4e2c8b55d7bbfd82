package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.routing.ClientLimits;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import reactor.netty.Connection;

/** Adds the handlers of a client connection, in the order in which input passes them. */
final class ClientChannel {
  private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

  private final Relay relay;
  private final ClientBudgets budgets;
  private final EventLog log;

  ClientChannel(Relay relay, ClientBudgets budgets, EventLog log) {
    this.relay = relay;
    this.budgets = budgets;
    this.log = log;
  }

  /**
   * Adds the handlers and starts to read.
   *
   * @param connection connection of a client
   */
  void addHandlers(Connection connection) {
    ClientRequestDecoder decoder =
        new ClientRequestDecoder(
            new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(ClientLimits.MAX_HEADER_BYTES),
            relay::newestRoutes);
    RequestReadProgress progress = new RequestReadProgress(decoder);
    ClientInputGuard guard =
        new ClientInputGuard(
            connection.channel(),
            decoder,
            budgets.input(),
            () -> closeForMemory(connection, "input uses too much memory"));
    InputGate gate = new InputGate(() -> progress.incompleteRequest().isPresent(), guard);
    decoder.suspendWhile(gate::isSuspended);
    ClientHandler client = new ClientHandler(relay, decoder, progress, gate, guard);
    if (!budgets.connections().admit(connection.channel(), client::mayClose)) {
      return;
    }
    guard.onHeadLate(client::rejectLateHead);
    BodyAggregation bodies = new BodyAggregation(decoder, max -> aggregator(client, max));
    connection.addHandlerLast(gate);
    connection.addHandlerLast(decoder);
    connection.addHandlerLast(new HttpResponseEncoder());
    connection.addHandlerLast("received-messages", progress.messageHandler());
    connection.addHandlerLast("body-aggregation", bodies);
    connection.addHandlerLast(
        new BufferedBodyLimiter(
            budgets.bodies(), () -> closeForMemory(connection, "bodies use too much memory")));
    connection.addHandlerLast(BodyAggregation.aggregatorName(), bodies.aggregator());
    connection.addHandlerLast(client.idleTimeout());
    connection.addHandlerLast(client);
    connection.channel().config().setAutoRead(true);
  }

  private void closeForMemory(Connection connection, String reason) {
    log.write(LogEvent.of("client.closed").with("reason", reason));
    connection.channel().close();
  }

  private RequestAggregator aggregator(ClientHandler client, int maxBodyBytes) {
    return new RequestAggregator(
        maxBodyBytes,
        () -> !client.hasUnansweredRequests(),
        status -> reject(client, status, maxBodyBytes));
  }

  private void reject(ClientHandler client, HttpResponseStatus status, int maxBodyBytes) {
    log.write(
        LogEvent.of("request.rejected")
            .with("reason", status.reasonPhrase())
            .with("max_bytes", maxBodyBytes));
    client.reject(status);
  }
}
