package io.coltsfootwheel.listener;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the request in progress on a connection and what it makes the process hold. Ends the
 * connection of a client whose head is malformed or late, or that does not read its response.
 * Placed behind the HTTP decoder.
 */
final class RequestTracker extends ChannelDuplexHandler implements ConnectionMemoryBudget.Holder {
  private static final long CHECK_INTERVAL_MILLIS = 1_000;
  private static final long CHUNKED_BODY = -1;

  /** Memory of the objects that hold one part of a body or of a response. */
  private static final int PART_OVERHEAD_BYTES = 256;

  /** Time without progress after which a client may be disconnected for a new connection. */
  private static final long REPLACEABLE_MILLIS = 2_000;

  private final Channel channel;
  private final RequestGate gate;
  private final HttpListenerLimits limits;
  private final ConnectionMemoryBudget memory;
  private final ConnectionLimiter connections;
  private int unansweredCount;
  private boolean isInsideBody;
  private long bodyBytesLeft;
  private long bodyBytes;
  private long unwrittenBytes;
  private long seenOutboundBytes;
  private boolean isInformational;
  private boolean rejected;
  private long headStartNanos;
  private boolean isHeadOverdue;
  private long writeProgressNanos;
  private Optional<ScheduledFuture<?>> check = Optional.empty();

  RequestTracker(
      Channel channel,
      RequestGate gate,
      HttpListenerLimits limits,
      ConnectionMemoryBudget memory,
      ConnectionLimiter connections) {
    this.channel = channel;
    this.gate = gate;
    this.limits = limits;
    this.memory = memory;
    this.connections = connections;
  }

  /** Returns whether more input may be decoded: no complete request waits for its response. */
  boolean acceptsInput() {
    return isInsideBody || unansweredCount == 0;
  }

  boolean isInsideBody() {
    return isInsideBody;
  }

  /** Returns how many bytes of the current body are missing, negative when that is not known. */
  long bodyBytesLeft() {
    return bodyBytesLeft;
  }

  /** Returns whether the connection may be closed for a new one. */
  boolean mayClose() {
    return acceptsInput()
        || gate.hasHeldBytes()
        || unwrittenBytes > 0 && isWithoutProgress(System.nanoTime(), REPLACEABLE_MILLIS);
  }

  private boolean isWithoutProgress(long nowNanos, long millis) {
    return nowNanos - writeProgressNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Updates what the connection uses, and the time limits, after input was passed on. */
  void inputChanged() {
    if (!gate.hasPartialHead()) {
      headStartNanos = 0;
      isHeadOverdue = false;
    } else if (headStartNanos == 0) {
      headStartNanos = System.nanoTime();
    }
    updateMemory();
    scheduleCheck();
  }

  private void updateMemory() {
    if (channel.isActive()) {
      memory.set(this, gate.usedBytes() + bodyBytes + unwrittenBytes);
    }
  }

  @Override
  public void abort() {
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!rejected && message instanceof HttpRequest request) {
      begin(context, request);
    }
    if (rejected) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpContent content) {
      countContent(content);
    }
    context.fireChannelRead(message);
  }

  private void begin(ChannelHandlerContext context, HttpRequest request) {
    if (request.decoderResult().isFailure()) {
      reject(context, statusOfMalformed(request.decoderResult().cause()));
      return;
    }
    gate.headDecoded();
    unansweredCount++;
    isInsideBody = true;
    bodyBytesLeft =
        HttpUtil.isTransferEncodingChunked(request)
            ? CHUNKED_BODY
            : HttpUtil.getContentLength(request, 0L);
  }

  private void countContent(HttpContent content) {
    int bytes = content.content().readableBytes();
    gate.contentDecoded();
    bodyBytesLeft -= bodyBytesLeft == CHUNKED_BODY ? 0 : bytes;
    if (unansweredCount > 0) {
      bodyBytes += bytes + PART_OVERHEAD_BYTES;
    }
    if (content instanceof LastHttpContent) {
      isInsideBody = false;
      connections.recordRequest(channel);
    }
  }

  private static HttpResponseStatus statusOfMalformed(Throwable cause) {
    return cause instanceof TooLongFrameException
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  /** Answers input that is no request, and closes the connection. */
  private void reject(ChannelHandlerContext context, HttpResponseStatus status) {
    rejected = true;
    gate.stop();
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpResponse response) {
      isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
    int bytes = usedBytes(message);
    boolean isLast = message instanceof LastHttpContent && !isInformational;
    if (unwrittenBytes == 0) {
      writeProgressNanos = System.nanoTime();
    }
    unwrittenBytes += bytes;
    ChannelPromise written = promise.unvoid();
    written.addListener(future -> written(bytes, isLast && future.isSuccess()));
    context.write(message, written);
    if (!written.isDone()) {
      updateMemory();
      scheduleCheck();
    }
  }

  private static int usedBytes(Object message) {
    if (message instanceof ByteBufHolder holder) {
      return holder.content().readableBytes() + PART_OVERHEAD_BYTES;
    }
    return PART_OVERHEAD_BYTES + (message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
  }

  private void written(int bytes, boolean isAnswered) {
    unwrittenBytes -= bytes;
    writeProgressNanos = System.nanoTime();
    if (isAnswered) {
      unansweredCount--;
      bodyBytes = 0;
      gate.releaseHead();
      gate.resume();
    }
    updateMemory();
  }

  private void scheduleCheck() {
    boolean isNeeded = headStartNanos != 0 || unwrittenBytes > 0;
    if (isNeeded && check.isEmpty() && channel.isActive()) {
      check =
          Optional.of(
              channel
                  .eventLoop()
                  .schedule(this::checkProgress, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private void checkProgress() {
    check = Optional.empty();
    long nowNanos = System.nanoTime();
    if (isHeadLate(nowNanos) || isStalled(nowNanos)) {
      channel.close();
    } else {
      scheduleCheck();
    }
  }

  /**
   * Returns true at the second check only: bytes may have arrived while the process did not run.
   */
  private boolean isHeadLate(long nowNanos) {
    boolean wasOverdue = isHeadOverdue;
    isHeadOverdue =
        headStartNanos != 0
            && nowNanos - headStartNanos
                >= TimeUnit.MILLISECONDS.toNanos(limits.headTimeoutMillis());
    return wasOverdue && isHeadOverdue;
  }

  private boolean isStalled(long nowNanos) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long outboundBytes =
        buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    if (outboundBytes != seenOutboundBytes) {
      seenOutboundBytes = outboundBytes;
      writeProgressNanos = nowNanos;
    }
    return unwrittenBytes > 0 && isWithoutProgress(nowNanos, limits.stallTimeoutMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    memory.remove(this);
    check.ifPresent(task -> task.cancel(false));
    context.fireChannelInactive();
  }
}
