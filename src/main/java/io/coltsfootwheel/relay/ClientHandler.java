package io.coltsfootwheel.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
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
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Handles a client connection: relays one request at a time and writes the responses in order. */
final class ClientHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  /**
   * Requests that a client may queue behind the one in progress; one more closes the connection.
   */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  private static final int MAX_KEY = 65_535;

  /**
   * Time in which a client whose connection was accepted during a stop may send its first request.
   */
  private static final long FIRST_REQUEST_MILLIS = 200;

  /** Time in which a client may close its connection after the last response of a stop. */
  private static final long LINGER_MILLIS = 500;

  private final Relay relay;
  private final RequestReadProgress progress;
  private final ArrayDeque<FullHttpRequest> queuedRequests = new ArrayDeque<>();
  private final long connectedNanos = System.nanoTime();
  private Optional<RelayExchange> currentExchange = Optional.empty();

  /** Responses not yet fully written to the socket; closing now would truncate them. */
  private int pendingWrites;

  private boolean hasReadRequest;

  /** Whether the last response of this connection was written; later requests are discarded. */
  private boolean lastResponseWritten;

  private ChannelHandlerContext channelContext;

  ClientHandler(Relay relay, RequestReadProgress progress) {
    this.relay = relay;
    this.progress = progress;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
    relay.clientConnected(this);
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
    if (!isBusy() && !lastResponseWritten && !progress.isPartial() && !awaitsFirstRequest()) {
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
    write(
        new RelayResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER),
        true);
  }

  void close() {
    channelContext.close();
  }

  boolean isBusy() {
    return currentExchange.isPresent() || pendingWrites > 0;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    hasReadRequest = true;
    if (lastResponseWritten) {
      relay.recordDiscarded(request.headers());
    } else if (queuedRequests.size() > MAX_PIPELINED_REQUESTS) {
      channelContext.close();
    } else {
      queuedRequests.add(request.retain());
    }
  }

  /**
   * Starts the first request only now, because its response must not close the connection while
   * later requests of the same read are still to be decoded.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    processNext();
    context.fireChannelReadComplete();
  }

  private void processNext() {
    if (currentExchange.isEmpty() && !queuedRequests.isEmpty()) {
      process(queuedRequests.poll());
    }
  }

  private void process(FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      request.release();
      rejectMalformed(request.decoderResult().cause());
    } else {
      startExchange(request);
    }
  }

  private void startExchange(FullHttpRequest request) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    ProtocolHeaderNames headerNames = relay.headerNames();
    HttpHeaders headers = request.headers();
    RelayRequest relayRequest =
        new RelayRequest(
            headers.get(headerNames.requestId(), ""),
            request.method(),
            request.uri(),
            headers.get(HttpHeaderNames.HOST, ""),
            headers,
            request.content(),
            parseKey(headers.get(headerNames.key())),
            parseNonNegative(headers.get(headerNames.deadlineMillis())),
            System.nanoTime());
    RelayExchange exchange =
        relay.createExchange(relayRequest, response -> respond(response, keepAlive));
    currentExchange = Optional.of(exchange);
    exchange.start();
  }

  private static OptionalInt parseKey(String text) {
    OptionalLong value = parseNonNegative(text);
    return value.isPresent() && value.getAsLong() <= MAX_KEY
        ? OptionalInt.of((int) value.getAsLong())
        : OptionalInt.empty();
  }

  private static OptionalLong parseNonNegative(String text) {
    if (text == null) {
      return OptionalLong.empty();
    }
    try {
      long value = Long.parseLong(text.trim());
      return value < 0 ? OptionalLong.empty() : OptionalLong.of(value);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private void respond(RelayResponse response, boolean keepAlive) {
    currentExchange = Optional.empty();
    boolean closesForStop = relay.stopState().closesConnections() && !hasMoreInput();
    write(response, !keepAlive || closesForStop);
    if (!keepAlive) {
      releaseQueuedRequests();
    } else {
      processNext();
    }
  }

  private boolean hasMoreInput() {
    return !queuedRequests.isEmpty() || progress.isPartial();
  }

  private void write(RelayResponse response, boolean last) {
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            response.status(),
            response.body(),
            response.headers(),
            EmptyHttpHeaders.INSTANCE);
    httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().readableBytes());
    if (last) {
      httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      lastResponseWritten = true;
    }
    pendingWrites++;
    ChannelFuture writeFuture = channelContext.writeAndFlush(httpResponse);
    writeFuture.addListener(future -> pendingWrites--);
    if (last) {
      writeFuture.addListener(future -> closeAfterLastResponse());
    }
  }

  /**
   * During a stop, ends only the sending side and leaves the close to the client: a socket that is
   * closed with unread bytes is reset, and a reset can destroy a response on its way.
   */
  private void closeAfterLastResponse() {
    if (relay.stopState().closesConnections()
        && channelContext.channel() instanceof DuplexChannel channel
        && channel.isActive()) {
      channel.shutdownOutput();
      relay.schedule(this::close, LINGER_MILLIS);
    } else {
      close();
    }
  }

  private void rejectMalformed(Throwable cause) {
    HttpResponseStatus status =
        cause instanceof TooLongFrameException
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    write(new RelayResponse(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER), true);
  }

  private void releaseQueuedRequests() {
    queuedRequests.forEach(FullHttpRequest::release);
    queuedRequests.clear();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      closeWhenIdle();
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    Optional<RelayExchange> abortedExchange = currentExchange;
    currentExchange = Optional.empty();
    releaseQueuedRequests();
    abortedExchange.ifPresent(RelayExchange::clientDisconnected);
    relay.clientDisconnected(this);
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
