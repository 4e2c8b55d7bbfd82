package io.coltsfootwheel.relay;

import io.coltsfootwheel.routing.ClientLimits;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Handles a client connection: passes requests to {@link PipelinedResponses}, writes the responses,
 * and decides when the connection is read and when it closes.
 */
final class ClientHandler extends SimpleChannelInboundHandler<FullHttpRequest>
    implements PipelinedResponses.Connection {
  /**
   * Time in which a client whose connection was accepted during a stop may send its first request.
   */
  private static final long FIRST_REQUEST_MILLIS = 200;

  /**
   * Time in which a client may close its connection after the last response if it sent more than
   * was answered.
   */
  private static final long LINGER_MILLIS = 500;

  /** Requests behind a response that closes the connection that are read and logged. */
  private static final int MAX_DISCARDED_REQUESTS = 64;

  /** Responses that may wait for the socket; each uses memory beside its body. */
  private static final int MAX_PENDING_WRITES = 4;

  /**
   * Requests of a connection after which the other connections have their turn; a client can send
   * thousands ahead that are answered at once.
   */
  private static final int MAX_REQUESTS_PER_TURN = 32;

  private static final long WRITE_CHECK_MILLIS = 500;

  /**
   * Time without progress after which a client may be disconnected when memory is short. A link of
   * 2 Mbit/s takes the bytes of the high water mark in about a second.
   */
  private static final long STALLED_MILLIS = 5_000;

  private final Relay relay;
  private final ClientRequestDecoder decoder;
  private final RequestReadProgress progress;
  private final InputGate gate;
  private final ClientInputGuard guard;
  private final ClientRequestParser parser;
  private final PipelinedResponses responses;
  private final WriteProgress writeProgress = new WriteProgress(System.nanoTime());
  private final IdleTimeout idleTimeout = new IdleTimeout(this::idleMillis, this::closeWhenIdle);
  private final long connectedNanos = System.nanoTime();

  /**
   * Time for which the client may take no bytes of each response that is not yet fully written to
   * the socket; closing now would truncate them.
   */
  private final ArrayDeque<Long> pendingWriteStallMillis = new ArrayDeque<>();

  private boolean hasReadRequest;

  /** Whether the last response of this connection was written; later requests are discarded. */
  private boolean lastResponseWritten;

  private boolean checksWriteProgress;
  private int discardedRequests;

  /** Requests read since the connection last gave way to the others. */
  private int requestsInTurn;

  private boolean inputRejected;
  private ChannelHandlerContext channelContext;

  /**
   * Creates a handler.
   *
   * @param relay the relay
   * @param decoder decodes the requests, and knows the version by which each is handled
   * @param progress tracks requests received in part
   * @param gate suspends the input of the connection
   * @param guard bounds the input that is no request yet
   */
  ClientHandler(
      Relay relay,
      ClientRequestDecoder decoder,
      RequestReadProgress progress,
      InputGate gate,
      ClientInputGuard guard) {
    this.relay = relay;
    this.decoder = decoder;
    this.progress = progress;
    this.gate = gate;
    this.guard = guard;
    this.parser = new ClientRequestParser(relay.headerNames());
    this.responses = new PipelinedResponses(this, relay.budgets());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
    relay.clientConnected(this);
  }

  /** Returns the handler that reports that the connection is idle, to place before this one. */
  IdleTimeout idleTimeout() {
    return idleTimeout;
  }

  /** Applies other limits than before to the connection, from now on. */
  void limitsChanged() {
    idleTimeout.timeoutChanged();
  }

  /** Returns the time for which the connection may be idle now. */
  private long idleMillis() {
    ClientLimits limits = progress.isPartial() ? decoder.limits() : relay.newestRoutes().limits();
    return limits.idleTimeoutMillis();
  }

  /** Closes the connection at its idle timeout unless a request or response is in progress. */
  private void closeWhenIdle() {
    if (!isBusy()) {
      close();
    }
  }

  /**
   * Closes the connection during a stop if nothing is in progress on it, not even a request that
   * was received in part. Otherwise it closes after its last response.
   */
  void closeForStop() {
    if (!isBusy() && !lastResponseWritten && !hasMoreInput() && !awaitsFirstRequest()) {
      close();
    }
  }

  private boolean awaitsFirstRequest() {
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedNanos);
    return !hasReadRequest && ageMillis < FIRST_REQUEST_MILLIS;
  }

  /** Refuses a request whose head was received but not the end of its body. */
  void refuseIncompleteRequest() {
    if (!isBusy() && !lastResponseWritten) {
      progress.incompleteRequest().ifPresent(this::refuseIncomplete);
    }
  }

  private void refuseIncomplete(HttpRequest request) {
    relay.recordIncompleteRefusal(request.headers());
    HttpHeaders headers = new DefaultHttpHeaders();
    RetryAfter.ENTRY_STOPPING.addTo(headers);
    write(unavailable(headers), true, decoder.limits());
  }

  void close() {
    channelContext.close();
  }

  /**
   * Returns whether the connection may be closed for a new one: nothing is in progress on it, or
   * its client does not read, or sends further ahead than it is read.
   */
  boolean mayClose() {
    return !isBusy() || isStalled() || gate.isSuspended();
  }

  boolean isBusy() {
    return hasUnansweredRequests() || !pendingWriteStallMillis.isEmpty();
  }

  boolean hasUnansweredRequests() {
    return !responses.isEmpty();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    hasReadRequest = true;
    countTurn();
    relay.budgets().connections().recordRequest(context.channel());
    if (lastResponseWritten || responses.isClosing()) {
      discard(request);
    } else if (request.decoderResult().isFailure()) {
      reject(ClientRequestParser.statusOfMalformed(request.decoderResult().cause()));
    } else {
      add(request, !HttpUtil.isKeepAlive(request));
      suspendReadingWhenFull();
    }
  }

  private void countTurn() {
    requestsInTurn++;
    if (requestsInTurn == MAX_REQUESTS_PER_TURN) {
      channelContext.executor().execute(this::beginTurn);
    }
  }

  private void beginTurn() {
    requestsInTurn = 0;
    proceed();
  }

  private void add(FullHttpRequest request, boolean closes) {
    long headBytes = guard.headBytes();
    if (countMemory(headBytes, request.content().readableBytes())) {
      responses.add(
          parser.parse(request.retain(), System.nanoTime(), decoder.routes()), closes, headBytes);
      return;
    }
    relay.recordMemoryRefusal(request.headers());
    HttpHeaders headers = new DefaultHttpHeaders();
    String idName = relay.headerNames().requestId();
    if (request.headers().contains(idName)) {
      headers.set(idName, request.headers().get(idName));
    }
    RetryAfter.MEMORY_EXCEEDED.addTo(headers);
    responses.addResponse(unavailable(headers), closes, decoder.limits());
  }

  private boolean countMemory(long headBytes, long bodyBytes) {
    if (!relay.budgets().heads().tryAdd(headBytes)) {
      return false;
    }
    if (!relay.bodyBudget().tryAddComplete(bodyBytes)) {
      relay.budgets().heads().remove(headBytes);
      return false;
    }
    return true;
  }

  private static RelayResponse unavailable(HttpHeaders headers) {
    return new RelayResponse(
        HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
  }

  private void discard(FullHttpRequest request) {
    relay.recordDiscarded(request.headers());
    discardedRequests++;
    if (discardedRequests >= MAX_DISCARDED_REQUESTS) {
      gate.stop();
    }
  }

  /** Answers a request that is not forwarded when its turn comes, and reads nothing behind it. */
  void reject(HttpResponseStatus status) {
    inputRejected = true;
    gate.stop();
    if (!lastResponseWritten && !responses.isClosing()) {
      responses.addResponse(
          new RelayResponse(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER),
          true,
          decoder.limits());
    }
  }

  /** Answers that the head of a request was not complete in time. */
  void rejectLateHead() {
    reject(HttpResponseStatus.REQUEST_TIMEOUT);
    proceed();
  }

  private void suspendReadingWhenFull() {
    if (isFull()) {
      gate.suspend();
    }
  }

  private boolean isFull() {
    return requestsInTurn >= MAX_REQUESTS_PER_TURN || responses.isFull() || !isWritable();
  }

  /**
   * Starts requests only now, because a response must not close the connection while later requests
   * of the same read are still to be decoded.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    proceed();
    context.fireChannelReadComplete();
  }

  @Override
  public void proceed() {
    // Writes that fail because the connection closes must not start the requests behind them.
    if (!channelContext.channel().isActive()) {
      return;
    }
    try {
      responses.advance();
      while (!isFull() && gate.resume()) {
        responses.advance();
      }
      suspendReadingWhenFull();
    } catch (RuntimeException e) {
      // Often called for the outcome of another request, whose target is not the cause.
      relay.recordDecisionFailure(e);
      close();
    }
  }

  @Override
  public RelayExchange createExchange(RelayRequest request, Consumer<RelayResponse> responder) {
    return relay.createExchange(request, responder);
  }

  @Override
  public boolean isIdempotent(RelayRequest request) {
    return relay.isIdempotent(request);
  }

  @Override
  public void drop(RelayRequest request) {
    relay.releaseBody(request);
  }

  @Override
  public boolean isOpen() {
    return channelContext.channel().isActive();
  }

  @Override
  public boolean isWritable() {
    int pendingWrites = pendingWriteStallMillis.size();
    return pendingWrites == 0
        || pendingWrites < MAX_PENDING_WRITES && channelContext.channel().isWritable();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    proceed();
    context.fireChannelWritabilityChanged();
  }

  /** Writes the response to the first unanswered request; closes the connection after the last. */
  @Override
  public void write(RelayResponse response, boolean closes, ClientLimits limits) {
    boolean last = closes || relay.stopState().closesConnections() && !hasMoreInput();
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            response.status(),
            response.body(),
            response.headers(),
            EmptyHttpHeaders.INSTANCE);
    int bodyBytes = response.body().readableBytes();
    httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
    if (last) {
      httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      lastResponseWritten = true;
    }
    pendingWriteStallMillis.add(limits.idleTimeoutMillis());
    responses.changeUnwrittenBytes(bodyBytes);
    ChannelFuture writeFuture = channelContext.writeAndFlush(httpResponse);
    writeFuture.addListener(
        future -> {
          pendingWriteStallMillis.remove();
          writeProgress.countCompleted();
          responses.changeUnwrittenBytes(-bodyBytes);
          relay.bodyBudget().removeComplete(bodyBytes);
          if (future.isSuccess()) {
            proceed();
          } else {
            // The next response would be taken for the one that was not written.
            close();
          }
        });
    if (!writeFuture.isDone() && !checksWriteProgress) {
      writeProgress.begin(System.nanoTime());
      scheduleWriteCheck();
    }
    if (last) {
      writeFuture.addListener(future -> closeAfterLastResponse());
    }
  }

  private void scheduleWriteCheck() {
    checksWriteProgress = true;
    relay.schedule(this::checkWriteProgress, WRITE_CHECK_MILLIS);
  }

  private void checkWriteProgress() {
    checksWriteProgress = false;
    if (pendingWriteStallMillis.isEmpty() || !channelContext.channel().isActive()) {
      return;
    }
    writeProgress.update(channelContext.channel(), System.nanoTime());
    long maxStallMillis = pendingWriteStallMillis.element();
    if (maxStallMillis > 0 && writeProgress.stalledMillis(System.nanoTime()) >= maxStallMillis) {
      closeStalled();
    } else {
      scheduleWriteCheck();
    }
  }

  /** Returns whether the client has not taken bytes of its responses for some seconds. */
  boolean isStalled() {
    return !pendingWriteStallMillis.isEmpty()
        && writeProgress.stalledMillis(System.nanoTime()) >= STALLED_MILLIS;
  }

  long unwrittenBytes() {
    return WriteProgress.unwrittenBytes(channelContext.channel());
  }

  /** Disconnects a client that does not read its responses. */
  void closeStalled() {
    relay.recordStalledClient(unwrittenBytes());
    close();
  }

  private boolean hasMoreInput() {
    return hasUnansweredRequests() || progress.isPartial() || gate.hasHeldBytes();
  }

  /**
   * Ends only the sending side, and leaves the close to the client, during a stop and when the
   * client sent more than was answered: a socket that is closed with unread bytes is reset, and a
   * reset can destroy a response on its way.
   */
  private void closeAfterLastResponse() {
    boolean mayHaveUnreadBytes = inputRejected || discardedRequests > 0 || hasMoreInput();
    if ((mayHaveUnreadBytes || relay.stopState().closesConnections())
        && channelContext.channel() instanceof DuplexChannel channel
        && channel.isActive()) {
      channel.shutdownOutput();
      relay.schedule(this::close, LINGER_MILLIS);
    } else {
      close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    responses.cancelAll();
    relay.clientDisconnected(this);
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
