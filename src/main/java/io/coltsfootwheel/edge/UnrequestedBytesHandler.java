package io.coltsfootwheel.edge;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.netty.NettyPipeline;

/**
 * Closes a connection to a target that receives bytes while no request is in progress on it. Such
 * bytes would become a part of the next response.
 */
final class UnrequestedBytesHandler extends ChannelInboundHandlerAdapter {
  private static final Logger LOGGER = LogManager.getLogger(UnrequestedBytesHandler.class);

  private boolean requestInProgress;

  /** Adds the handlers to the pipeline of a connection. */
  static void addTo(Channel channel) {
    UnrequestedBytesHandler handler = new UnrequestedBytesHandler();
    channel.pipeline().addFirst(handler);
    channel
        .pipeline()
        .addAfter(NettyPipeline.HttpCodec, "requestTracker", handler.new RequestTracker());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!requestInProgress) {
      LOGGER.warn("{} sent bytes without a request", context.channel().remoteAddress());
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    context.fireChannelRead(message);
  }

  /** Tracks on the decoded messages whether a request is in progress. */
  private final class RequestTracker extends ChannelDuplexHandler {
    private boolean isInformational;

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      requestInProgress |= message instanceof HttpRequest;
      context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse response) {
        isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      }
      if (message instanceof LastHttpContent && !isInformational) {
        requestInProgress = false;
      }
      context.fireChannelRead(message);
    }
  }
}
