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

/** Connection of a client: hands over one request at a time and writes the responses in order. */
final class ClientHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Requests that a client may send ahead of their responses. */
  private static final int MAX_PIPELINED = 16;

  private static final int MAX_KEY = 65_535;

  private final Relay relay;
  private final ArrayDeque<FullHttpRequest> waiting = new ArrayDeque<>();
  private Optional<Exchange> present = Optional.empty();

  /** Responses that the socket has not taken whole; closing now would cut them. */
  private int unwritten;

  private ChannelHandlerContext channel;

  ClientHandler(Relay relay) {
    this.relay = relay;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context;
    relay.connected(this);
  }

  /** Closes the connection now when it is idle, otherwise with its next response. */
  void closeWhenIdle() {
    if (!isBusy() && channel.channel().isActive()) {
      channel.close();
    }
  }

  boolean isBusy() {
    return present.isPresent() || unwritten > 0;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      refuse(request.decoderResult().cause());
    } else if (present.isPresent()) {
      enqueue(request.retain());
    } else {
      begin(request.retain());
    }
  }

  private void enqueue(FullHttpRequest request) {
    if (waiting.size() >= MAX_PIPELINED) {
      request.release();
      channel.close();
    } else {
      waiting.add(request);
    }
  }

  private void begin(FullHttpRequest request) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    WireNames names = relay.names();
    HttpHeaders headers = request.headers();
    RelayRequest parsed =
        new RelayRequest(
            headers.get(names.requestId(), ""),
            request.method(),
            request.uri(),
            headers.get(HttpHeaderNames.HOST, ""),
            headers,
            request.content(),
            key(headers.get(names.key())),
            millis(headers.get(names.deadlineMillis())),
            System.nanoTime());
    Exchange exchange = relay.exchange(parsed, response -> respond(response, keepAlive));
    present = Optional.of(exchange);
    exchange.start();
  }

  private static OptionalInt key(String text) {
    OptionalLong value = millis(text);
    return value.isPresent() && value.getAsLong() <= MAX_KEY
        ? OptionalInt.of((int) value.getAsLong())
        : OptionalInt.empty();
  }

  private static OptionalLong millis(String text) {
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
    present = Optional.empty();
    boolean keeps = keepAlive && !relay.isStopping();
    FullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            response.status(),
            response.body(),
            response.headers(),
            EmptyHttpHeaders.INSTANCE);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().readableBytes());
    if (!keeps) {
      message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    unwritten++;
    ChannelFuture written = channel.writeAndFlush(message);
    written.addListener(done -> unwritten--);
    if (!keeps) {
      written.addListener(ChannelFutureListener.CLOSE);
      dropWaiting();
    } else if (!waiting.isEmpty()) {
      begin(waiting.poll());
    }
  }

  private void refuse(Throwable cause) {
    HttpResponseStatus status =
        cause instanceof TooLongFrameException
            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            : HttpResponseStatus.BAD_REQUEST;
    FullHttpResponse message =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
  }

  private void dropWaiting() {
    waiting.forEach(FullHttpRequest::release);
    waiting.clear();
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
    Optional<Exchange> left = present;
    present = Optional.empty();
    dropWaiting();
    left.ifPresent(Exchange::clientLeft);
    relay.disconnected(this);
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
