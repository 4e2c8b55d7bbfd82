package io.coltsfootwheel.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One connection to a target; carries one request at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout\\s*=\\s*(\\d+)");
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** The target closes an idle connection after the time that it states; reuse ends earlier. */
  private static final double IDLE_SHARE = 0.7;

  private final String requestIdHeader;
  private final Runnable whenIdle;
  private final Runnable whenClosed;
  private Channel channel;
  private Optional<CallListener> listener = Optional.empty();
  private String requestId = "";
  private ChannelFuture written;
  private boolean reusable = true;
  private boolean closeAfterResponse;
  private long idleUntilNanos;

  TargetConnection(String requestIdHeader, Runnable whenIdle, Runnable whenClosed) {
    this.requestIdHeader = requestIdHeader;
    this.whenIdle = whenIdle;
    this.whenClosed = whenClosed;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  void send(FullHttpRequest request, String id, CallListener newListener) {
    listener = Optional.of(newListener);
    requestId = id;
    written = channel.writeAndFlush(request);
  }

  boolean isReusable(long nowNanos) {
    return reusable && channel.isActive() && nowNanos - idleUntilNanos < 0;
  }

  /** Gives the request in progress up; its outcome is not reported. */
  void abandon() {
    listener = Optional.empty();
    close();
  }

  void close() {
    reusable = false;
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    if (listener.isEmpty()) {
      // Bytes that belong to no request; whatever follows them cannot be trusted either.
      close();
      return;
    }
    if (!reusable || response.decoderResult().isFailure()) {
      fail(CallFailure.GARBLED);
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    String id = response.headers().get(requestIdHeader);
    if (id != null && !id.equals(requestId)) {
      // A late response to an earlier request; the one that is waited for may still follow.
      closeAfterResponse = true;
      return;
    }
    complete(response);
  }

  private void complete(FullHttpResponse response) {
    CallListener receiver = listener.orElseThrow();
    listener = Optional.empty();
    boolean keeps =
        !closeAfterResponse
            && written.isSuccess()
            && HttpUtil.isKeepAlive(response)
            && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    idleUntilNanos =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos((long) (IDLE_SHARE * idleMillis(response)));
    try {
      receiver.responded(response);
    } finally {
      if (keeps && channel.isActive()) {
        whenIdle.run();
      } else {
        close();
      }
    }
  }

  private static long idleMillis(FullHttpResponse response) {
    String keepAlive = response.headers().get(HttpHeaderNames.KEEP_ALIVE);
    Matcher seconds = KEEP_ALIVE_SECONDS.matcher(keepAlive == null ? "" : keepAlive);
    return seconds.find()
        ? TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)))
        : DEFAULT_IDLE_MILLIS;
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(CallFailure.BROKEN);
    whenClosed.run();
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A reset ends a response without length as well; it must not look complete.
    reusable = false;
    fail(CallFailure.BROKEN);
  }

  private void fail(CallFailure failure) {
    Optional<CallListener> receiver = listener;
    listener = Optional.empty();
    close();
    receiver.ifPresent(r -> r.failed(failure));
  }
}
