package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.routing.ClientLimits;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import reactor.netty.Connection;

/** Adds the handlers of a client connection, in the order in which input passes them. */
final class ClientChannel {
  private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

  private final Relay relay;
  private final BufferedBodyBudget bodyBudget;
  private final EventLog log;

  ClientChannel(Relay relay, BufferedBodyBudget bodyBudget, EventLog log) {
    this.relay = relay;
    this.bodyBudget = bodyBudget;
    this.log = log;
  }

  /**
   * Adds the handlers and starts to read.
   *
   * @param connection connection of a client
   * @param limits limits of what the client may send
   */
  void addHandlers(Connection connection, ClientLimits limits) {
    ClientRequestDecoder decoder =
        new ClientRequestDecoder(
            new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes()));
    RequestReadProgress progress = new RequestReadProgress(decoder);
    InputGate gate = new InputGate(() -> progress.incompleteRequest().isPresent());
    ClientHandler client = new ClientHandler(relay, progress, gate, limits.idleTimeoutMillis());
    connection.addHandlerLast(gate);
    connection.addHandlerLast(decoder);
    connection.addHandlerLast(new HttpResponseEncoder());
    connection.addHandlerLast("received-messages", progress.messageHandler());
    connection.addHandlerLast(
        new BufferedBodyLimiter(bodyBudget, () -> closeForMemory(connection)));
    connection.addHandlerLast(aggregator(client, (int) limits.maxBodyBytes()));
    connection.addHandlerLast(
        new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
    connection.addHandlerLast(client);
    connection.channel().config().setAutoRead(true);
  }

  private void closeForMemory(Connection connection) {
    log.write(LogEvent.of("client.closed").with("reason", "bodies use too much memory"));
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
