package io.coltsfootwheel.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/** Handles a client connection: relays one request at a time and writes the responses in order. */
final class ClientHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  /**
   * Requests that a client may queue behind the one in progress; one more closes the connection.
   */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  private static final int MAX_KEY = 65_535;

  private final Relay relay;
  private final ArrayDeque<FullHttpRequest> queuedRequests = new ArrayDeque<>();
  private Optional<RelayExchange> currentExchange = Optional.empty();

  /** Responses not yet fully written to the socket; closing now would truncate them. */
  private int pendingWrites;

  private ChannelHandlerContext channelContext;

  ClientHandler(Relay relay) {
    this.relay = relay;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channelContext = context;
    relay.clientConnected(this);
  }

  /**
   * Closes the connection if it is idle. While the relay is stopping, a busy connection closes
   * after its current response.
   */
  void closeWhenIdle() {
    if (!isBusy() && channelContext.channel().isActive()) {
      channelContext.close();
    }
  }

  boolean isBusy() {
    return currentExchange.isPresent() || pendingWrites > 0;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      rejectMalformed(request.decoderResult().cause());
    } else if (currentExchange.isPresent()) {
      enqueue(request.retain());
    } else {
      startExchange(request.retain());
    }
  }

  private void enqueue(FullHttpRequest request) {
    if (queuedRequests.size() >= MAX_PIPELINED_REQUESTS) {
      request.release();
      channelContext.close();
    } else {
      queuedRequests.add(request);
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
    boolean keepOpen = keepAlive && !relay.isStopping();
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            response.status(),
            response.body(),
            response.headers(),
            EmptyHttpHeaders.INSTANCE);
    httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().readableBytes());
    if (!keepOpen) {
      httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    pendingWrites++;
    ChannelFuture writeFuture = channelContext.writeAndFlush(httpResponse);
    writeFuture.addListener(future -> pendingWrites--);
    if (!keepOpen) {
      writeFuture.addListener(ChannelFutureListener.CLOSE);
      releaseQueuedRequests();
    } else if (!queuedRequests.isEmpty()) {
      startExchange(queuedRequests.poll());
    }
  }

  private void rejectMalformed(Throwable cause) {
    HttpResponseStatus status =
        cause instanceof TooLongFrameException
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channelContext.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
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
