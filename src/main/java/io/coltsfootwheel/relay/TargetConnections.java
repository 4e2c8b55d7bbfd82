package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.TargetId;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.Executor;
import java.util.function.Function;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/** Connection pools of one entry to all targets; confined to the relay's event loop. */
final class TargetConnections {
  /** A target in the same region accepts a connection within a few milliseconds. */
  static final int CONNECT_TIMEOUT_MILLIS = 400;

  private final TcpClient client;
  private final Executor executor;
  private final ProtocolHeaderNames headerNames;
  private final BufferedBodyBudget budget;
  private final PacedWriter writer;
  private final Function<TargetId, OptionalInt> maxConnections;
  private final EventLog log;
  private final Map<TargetId, Pool> pools = new HashMap<>();
  private long openedCount;

  private static final class Pool {
    private final TargetId target;
    private final ArrayDeque<TargetConnection> idle = new ArrayDeque<>();
    private Address address;
    private int openCount;

    Pool(TargetId target) {
      this.target = target;
    }
  }

  /** Handle of a request in progress. */
  static final class Call {
    private Runnable cancelAction = () -> {};
    private boolean cancelled;
    private boolean sent;

    /** Cancels the request; the listener is not called any more. */
    void cancel() {
      cancelled = true;
      cancelAction.run();
    }

    /** Returns whether the request was written to a connection. */
    boolean isSent() {
      return sent;
    }
  }

  /**
   * Creates pools without connections.
   *
   * @param loops event loops of the connections
   * @param executor the relay's event loop
   * @param headerNames names of the protocol's headers
   * @param budget memory of the bodies of responses
   * @param writer writes requests at the speed of the entry's link
   * @param maxConnections returns the connections that may be kept to a target now
   * @param log structured log
   */
  TargetConnections(
      LoopResources loops,
      Executor executor,
      ProtocolHeaderNames headerNames,
      BufferedBodyBudget budget,
      PacedWriter writer,
      Function<TargetId, OptionalInt> maxConnections,
      EventLog log) {
    this.executor = executor;
    this.headerNames = headerNames;
    this.budget = budget;
    this.writer = writer;
    this.maxConnections = maxConnections;
    this.log = log;
    this.client =
        TcpClient.create(ConnectionProvider.newConnection())
            .resolver(DefaultAddressResolverGroup.INSTANCE)
            .runOn(loops, false)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Sends a request on an idle connection or on a new one, but not on one on which the target
   * refused a request with the same ID.
   *
   * @param target the target
   * @param maxConnections connections that this entry may have open to the target
   * @param request the request; its reference passes to this method
   * @param requestId ID that the response must carry if it carries any
   * @param listener receives the outcome
   * @return handle that cancels the request
   */
  Call send(
      OwnershipView.Target target,
      int maxConnections,
      FullHttpRequest request,
      String requestId,
      CallListener listener) {
    Pool pool = pools.computeIfAbsent(target.id(), Pool::new);
    if (!target.address().equals(pool.address)) {
      closeIdle(pool);
      pool.address = target.address();
    }
    Call call = new Call();
    TargetConnection idle = takeIdle(pool, requestId);
    if (idle != null) {
      call.cancelAction = idle::cancel;
      call.sent = true;
      idle.send(request, requestId, listener);
    } else if (pool.openCount >= maxConnections) {
      request.release();
      // Deferred, so that the caller has the handle before the listener is called.
      executor.execute(() -> fail(call, listener, CallFailure.NO_CONNECTION));
    } else {
      connect(pool, request, requestId, listener, call);
    }
    return call;
  }

  /** Returns the time for which the body of a further request waits for the link of this entry. */
  long millisToSend(long bodyBytes) {
    return writer.pacer().millisToSend(bodyBytes);
  }

  /** Returns whether a request to a target would be sent on an idle connection. */
  boolean hasIdle(OwnershipView.Target target) {
    Pool pool = pools.get(target.id());
    if (pool == null || !target.address().equals(pool.address)) {
      return false;
    }
    long nowNanos = System.nanoTime();
    return pool.idle.stream().anyMatch(c -> c.isReusable(nowNanos));
  }

  /** Returns the number of connection attempts since the start. */
  long openedCount() {
    return openedCount;
  }

  void close(TargetId target) {
    Pool pool = pools.remove(target);
    if (pool != null) {
      closeIdle(pool);
    }
  }

  /** Closes idle connections beyond what may be kept to their target now. */
  void closeExcess() {
    for (Pool pool : pools.values()) {
      int excess = excess(pool);
      while (excess > 0 && !pool.idle.isEmpty()) {
        pool.idle.pollLast().close();
        excess--;
      }
    }
  }

  private int excess(Pool pool) {
    OptionalInt limit = maxConnections.apply(pool.target);
    return limit.isPresent() ? pool.openCount - limit.getAsInt() : 0;
  }

  private static TargetConnection takeIdle(Pool pool, String requestId) {
    long nowNanos = System.nanoTime();
    closeUnusable(pool, nowNanos);
    for (TargetConnection connection : pool.idle) {
      if (connection.isReusable(nowNanos) && !connection.hasRefused(requestId)) {
        pool.idle.remove(connection);
        return connection;
      }
    }
    return null;
  }

  /** Closes idle connections that cannot be reused, up to the first one that can. */
  private static void closeUnusable(Pool pool, long nowNanos) {
    while (!pool.idle.isEmpty() && !pool.idle.peekFirst().isReusable(nowNanos)) {
      pool.idle.pollFirst().close();
    }
  }

  private void connect(
      Pool pool, FullHttpRequest request, String requestId, CallListener listener, Call call) {
    pool.openCount++;
    openedCount++;
    Address address = pool.address;
    client
        .remoteAddress(() -> new InetSocketAddress(address.host(), address.port()))
        .doOnConnected(
            connection ->
                onConnected(pool, address, connection, request, requestId, listener, call))
        .connect()
        .subscribe(
            connection -> {},
            error -> {
              pool.openCount--;
              request.release();
              fail(call, listener, CallFailure.CONNECT_FAILED);
            });
  }

  private static void fail(Call call, CallListener listener, CallFailure failure) {
    if (!call.cancelled) {
      listener.onFailure(failure);
    }
  }

  private void onConnected(
      Pool pool,
      Address address,
      Connection connection,
      FullHttpRequest request,
      String requestId,
      CallListener listener,
      Call call) {
    TargetResponseDecoder decoder = new TargetResponseDecoder();
    TargetConnection[] connectionReference = new TargetConnection[1];
    TargetConnection targetConnection =
        new TargetConnection(
            headerNames,
            decoder,
            writer,
            () -> returnToPool(pool, address, connectionReference[0]),
            () -> {
              pool.openCount--;
              pool.idle.remove(connectionReference[0]);
            });
    connectionReference[0] = targetConnection;
    addHandlers(connection, decoder, targetConnection, address);
    connection.channel().config().setAutoRead(true);
    if (call.cancelled || !isCurrent(pool, address) || !listener.maySend()) {
      request.release();
      targetConnection.close();
      fail(call, listener, CallFailure.NO_CONNECTION);
      return;
    }
    call.cancelAction = targetConnection::cancel;
    call.sent = true;
    targetConnection.send(request, requestId, listener);
  }

  /**
   * Keeps a connection for reuse, unless its target was removed or has another address now, or
   * fewer connections may be kept to it.
   */
  private void returnToPool(Pool pool, Address address, TargetConnection connection) {
    if (isCurrent(pool, address) && excess(pool) <= 0) {
      pool.idle.addFirst(connection);
    } else {
      connection.close();
    }
  }

  private boolean isCurrent(Pool pool, Address address) {
    return pools.get(pool.target) == pool && address.equals(pool.address);
  }

  private void addHandlers(
      Connection connection,
      TargetResponseDecoder decoder,
      TargetConnection targetConnection,
      Address address) {
    connection.addHandlerLast(
        new UnrequestedBytesHandler(
            targetConnection::isIdle,
            () -> {
              logClosed(address, "bytes arrived without a request");
              targetConnection.close();
            }));
    connection.addHandlerLast(decoder);
    connection.addHandlerLast(new HttpRequestEncoder());
    connection.addHandlerLast(
        new BufferedBodyLimiter(
            budget,
            () -> {
              logClosed(address, "incomplete responses use too much memory");
              targetConnection.abortOversized();
            }));
    connection.addHandlerLast(new HttpObjectAggregator(BufferedBodyBudget.MAX_BODY_BYTES));
    connection.addHandlerLast(targetConnection);
  }

  private void logClosed(Address address, String reason) {
    log.write(
        LogEvent.of("target.connection.closed").with("address", address).with("reason", reason));
  }

  private static void closeIdle(Pool pool) {
    pool.idle.forEach(TargetConnection::close);
    pool.idle.clear();
  }
}
