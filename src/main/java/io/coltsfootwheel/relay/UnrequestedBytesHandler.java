package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Closes a connection on which bytes arrive while no request is in progress. Such bytes belong to
 * no request, and a decoder that kept them would add them to the next response.
 */
final class UnrequestedBytesHandler extends ChannelInboundHandlerAdapter {
  private final BooleanSupplier isIdle;
  private final Runnable onUnrequestedBytes;

  UnrequestedBytesHandler(BooleanSupplier isIdle, Runnable onUnrequestedBytes) {
    this.isIdle = isIdle;
    this.onUnrequestedBytes = onUnrequestedBytes;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (isIdle.getAsBoolean()) {
      ReferenceCountUtil.release(message);
      onUnrequestedBytes.run();
    } else {
      context.fireChannelRead(message);
    }
  }
}
