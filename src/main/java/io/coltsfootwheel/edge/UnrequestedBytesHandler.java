package io.coltsfootwheel.edge;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.netty.channel.ChannelOperations;

/**
 * Closes a pooled connection on which bytes arrive while no request uses it. Such bytes belong to
 * no request, and a target may send them without end.
 */
@Sharable
final class UnrequestedBytesHandler extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LogManager.getLogger(UnrequestedBytesHandler.class);

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (ChannelOperations.get(context.channel()) == null) {
      ReferenceCountUtil.release(message);
      LOG.warn(
          "bytes arrived without a request on the connection to target {}; closing it",
          context.channel().remoteAddress());
      context.close();
    } else {
      context.fireChannelRead(message);
    }
  }
}
