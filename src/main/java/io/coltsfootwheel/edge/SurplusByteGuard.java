package io.coltsfootwheel.edge;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.netty.channel.ChannelOperations;

/**
 * Closes a connection to a target that receives bytes while no request is in progress on it. Such
 * bytes would become a part of the next response.
 */
@ChannelHandler.Sharable
final class SurplusByteGuard extends ChannelInboundHandlerAdapter {
  private static final Logger LOGGER = LogManager.getLogger(SurplusByteGuard.class);

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (ChannelOperations.get(context.channel()) == null) {
      LOGGER.warn("{} sent bytes without a request", context.channel().remoteAddress());
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    context.fireChannelRead(message);
  }
}
