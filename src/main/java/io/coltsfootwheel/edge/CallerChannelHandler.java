package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

/** Rejects request heads that cannot be decoded, and reports the disconnect of a caller. */
final class CallerChannelHandler extends ChannelInboundHandlerAdapter {
  static final String NAME = "coltsfootwheel.caller";

  private volatile CallerExchange currentExchange;
  private boolean headRejected;

  void setCurrentExchange(CallerExchange exchange) {
    currentExchange = exchange;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (headRejected) {
      ReferenceCountUtil.release(message);
    } else if (message instanceof HttpRequest
        && ((HttpRequest) message).decoderResult().isFailure()) {
      headRejected = true;
      rejectHead(context, ((HttpRequest) message).decoderResult().cause());
      ReferenceCountUtil.release(message);
    } else {
      context.fireChannelRead(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    CallerExchange exchange = currentExchange;
    if (exchange != null) {
      exchange.callerDisconnected();
    }
    context.fireChannelInactive();
  }

  private static void rejectHead(ChannelHandlerContext context, Throwable cause) {
    HttpResponseStatus status = HttpResponseStatus.BAD_REQUEST;
    String detail = "request head is not valid HTTP/1.1";
    if (cause instanceof TooLongHttpLineException) {
      status = HttpResponseStatus.REQUEST_URI_TOO_LONG;
      detail = "request line is too long";
    } else if (cause instanceof TooLongHttpHeaderException) {
      status = HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
      detail = "request headers are too large";
    }
    ByteBuf body =
        Unpooled.wrappedBuffer(EdgeJson.error(ErrorKind.INVALID_REQUEST, Outcome.NOT_RUN, detail));
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        .set(HeaderNames.OUTCOME, Outcome.NOT_RUN.text());
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
