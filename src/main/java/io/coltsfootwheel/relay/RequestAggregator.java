package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Aggregates the body of a client's request. A request that is rejected for its size, or for an
 * expectation that is not supported, ends its connection, because the rest of its body may have no
 * end.
 */
final class RequestAggregator extends HttpObjectAggregator {
  private final BooleanSupplier mayContinue;
  private final Consumer<HttpResponseStatus> onRejected;
  private boolean rejected;

  /**
   * Creates an aggregator.
   *
   * @param maxBodyBytes largest body
   * @param mayContinue whether status 100 may be written now, which is not so while an earlier
   *     request of the connection is unanswered
   * @param onRejected writes the status of a rejected request when its turn comes
   */
  RequestAggregator(
      int maxBodyBytes, BooleanSupplier mayContinue, Consumer<HttpResponseStatus> onRejected) {
    super(maxBodyBytes);
    this.mayContinue = mayContinue;
    this.onRejected = onRejected;
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    HttpResponse response =
        (HttpResponse) super.newContinueResponse(start, maxContentLength, pipeline);
    if (response == null || response.status().equals(HttpResponseStatus.CONTINUE)) {
      return mayContinue.getAsBoolean() ? response : null;
    }
    if (!response.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)) {
      reject(response.status());
    }
    // Without a response the aggregator handles a body that is too large as an oversized message.
    return null;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
  }

  private void reject(HttpResponseStatus status) {
    rejected = true;
    onRejected.accept(status);
  }

  /** Returns whether a request was rejected, so that all that follows is dropped. */
  boolean hasRejected() {
    return rejected;
  }

  /** Drops what follows a rejected request, whose body the client may or may not have sent. */
  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (rejected) {
      ReferenceCountUtil.release(message);
    } else {
      super.channelRead(context, message);
    }
  }
}
