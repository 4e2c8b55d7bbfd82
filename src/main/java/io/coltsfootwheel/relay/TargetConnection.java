package io.coltsfootwheel.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Connection to a target; carries one request at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout\\s*=\\s*(\\d{1,9})");
  private static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

  /**
   * Fraction of the target's keep-alive timeout for which an idle connection is reused. It is below
   * 1 because the target closes the connection at the timeout.
   */
  private static final double KEEP_ALIVE_RATIO = 0.7;

  /**
   * Refusals after which a connection is closed, so that the IDs of refused requests do not
   * accumulate on a connection to an overloaded target.
   */
  private static final int MAX_REFUSALS = 64;

  /**
   * Interim and other responses that may precede the awaited one; a target may send them forever.
   */
  private static final int MAX_SKIPPED_RESPONSES = 16;

  private final ProtocolHeaderNames headerNames;
  private final TargetResponseDecoder decoder;
  private final PacedWriter writer;
  private final Runnable onIdle;
  private final Runnable onClosed;
  private Channel channel;
  private Optional<CallListener> listener = Optional.empty();
  private String requestId = "";
  private ChannelFuture writeFuture;
  private final Set<String> refusedRequestIds = new HashSet<>();
  private int skippedResponses;
  private boolean reusable = true;
  private boolean closeAfterResponse;
  private long reusableUntilNanos;

  TargetConnection(
      ProtocolHeaderNames headerNames,
      TargetResponseDecoder decoder,
      PacedWriter writer,
      Runnable onIdle,
      Runnable onClosed) {
    this.headerNames = headerNames;
    this.decoder = decoder;
    this.writer = writer;
    this.onIdle = onIdle;
    this.onClosed = onClosed;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  void send(FullHttpRequest request, String newRequestId, CallListener callListener) {
    listener = Optional.of(callListener);
    requestId = newRequestId;
    decoder.requestSent(request.method());
    skippedResponses = 0;
    writeFuture = writer.write(channel, request);
  }

  /** Returns whether no request is in progress. */
  boolean isIdle() {
    return listener.isEmpty();
  }

  boolean isReusable(long nowNanos) {
    return reusable
        && channel.isActive()
        && decoder.isInputOpen()
        && !decoder.hasSurplusBytes()
        && nowNanos - reusableUntilNanos < 0;
  }

  /**
   * Returns whether the target refused a request with this ID on this connection. A repetition of
   * that refusal could not be told from a refusal of a further send of the request.
   */
  boolean hasRefused(String otherRequestId) {
    return refusedRequestIds.contains(otherRequestId);
  }

  /** Cancels the request in progress and closes the connection; the listener is not called. */
  void cancel() {
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
      // A response without a request; later bytes on this connection cannot be trusted either.
      close();
      return;
    }
    if (decoder.responseEnd() == ResponseEnd.BROKEN) {
      fail(CallFailure.BROKEN);
      return;
    }
    if (!reusable || response.decoderResult().isFailure()) {
      fail(CallFailure.GARBLED);
      return;
    }
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail(CallFailure.GARBLED);
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipResponse();
      return;
    }
    String responseRequestId = response.headers().get(headerNames.requestId());
    if (responseRequestId != null && !responseRequestId.equals(requestId)) {
      // A response to another request, such as a late one; the awaited response may still follow.
      closeAfterResponse = true;
      skipResponse();
      return;
    }
    ResponseCheck check = ResponseCheck.of(response, headerNames);
    boolean namesRequest = responseRequestId != null && !requestId.isEmpty();
    if (check.isRefusal() && !namesRequest) {
      fail(CallFailure.UNCONFIRMED_REFUSAL);
    } else if (responseRequestId == null && !requestId.isEmpty()) {
      fail(CallFailure.GARBLED);
    } else {
      complete(response, check);
    }
  }

  private void skipResponse() {
    skippedResponses++;
    if (skippedResponses > MAX_SKIPPED_RESPONSES) {
      fail(CallFailure.GARBLED);
    }
  }

  private void complete(FullHttpResponse response, ResponseCheck check) {
    CallListener callListener = listener.orElseThrow();
    listener = Optional.empty();
    decoder.responseCompleted();
    if (check.isRefusal()) {
      refusedRequestIds.add(requestId);
    }
    boolean keepOpen =
        !closeAfterResponse
            && check != ResponseCheck.INVALID
            && refusedRequestIds.size() < MAX_REFUSALS
            && !decoder.hasSurplusBytes()
            && decoder.isInputOpen()
            && writeFuture.isSuccess()
            && HttpUtil.isKeepAlive(response)
            && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    reusableUntilNanos =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos((long) (KEEP_ALIVE_RATIO * keepAliveMillis(response)));
    try {
      callListener.onResponse(response, check);
    } finally {
      if (keepOpen && channel.isActive()) {
        onIdle.run();
      } else {
        close();
      }
    }
  }

  private static long keepAliveMillis(FullHttpResponse response) {
    String keepAliveHeader = response.headers().get(HttpHeaderNames.KEEP_ALIVE);
    Matcher seconds = KEEP_ALIVE_SECONDS.matcher(keepAliveHeader == null ? "" : keepAliveHeader);
    return seconds.find()
        ? TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)))
        : DEFAULT_KEEP_ALIVE_MILLIS;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      // The decoder has passed on a response that ended with the input; any other one is broken.
      fail(CallFailure.BROKEN);
    }
    context.fireUserEventTriggered(event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(CallFailure.BROKEN);
    onClosed.run();
    context.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(cause instanceof TooLongFrameException ? CallFailure.OVERSIZED : CallFailure.BROKEN);
  }

  /** Ends the request in progress because its response uses too much memory. */
  void abortOversized() {
    fail(CallFailure.OVERSIZED);
  }

  private void fail(CallFailure failure) {
    Optional<CallListener> callListener = listener;
    listener = Optional.empty();
    close();
    callListener.ifPresent(l -> l.onFailure(failure));
  }
}
