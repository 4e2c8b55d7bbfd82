package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the bodies of one connection in a {@link BufferedBodyBudget} while the next handler
 * aggregates them.
 */
final class BufferedBodyLimiter extends ChannelInboundHandlerAdapter {
  /**
   * Memory of the objects that hold one part of a body. Without it, a body in chunks of one byte
   * would use many times the memory that is counted.
   */
  private static final int PART_OVERHEAD_BYTES = 256;

  private final BufferedBodyBudget budget;
  private final Runnable onAborted;
  private boolean aborted;

  /**
   * Creates a handler.
   *
   * @param budget budget shared by all connections
   * @param onAborted called when the body is aborted; closes the connection
   */
  BufferedBodyLimiter(BufferedBodyBudget budget, Runnable onAborted) {
    this.budget = budget;
    this.onAborted = onAborted;
  }

  /** Ends the body because the budget is exceeded; later bytes of the connection are discarded. */
  void abort() {
    aborted = true;
    budget.remove(this);
    onAborted.run();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpContent content && !aborted) {
      budget.add(this, content.content().readableBytes() + PART_OVERHEAD_BYTES);
    }
    if (aborted || !(message instanceof HttpObject)) {
      // Bytes after a change of protocol are no HTTP messages; no later handler reads them.
      ReferenceCountUtil.release(message);
      return;
    }
    context.fireChannelRead(message);
    if (message instanceof LastHttpContent) {
      budget.remove(this);
    }
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    budget.remove(this);
  }
}
