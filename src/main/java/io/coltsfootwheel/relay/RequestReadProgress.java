package io.coltsfootwheel.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.util.Optional;

/** Tracks whether a client connection has received a part of a request. */
final class RequestReadProgress {
  private boolean headStarted;
  private Optional<HttpRequest> incompleteRequest = Optional.empty();

  /** Returns whether bytes of a request were received whose end is missing. */
  boolean isPartial() {
    return headStarted || incompleteRequest.isPresent();
  }

  /** Returns the head of a request whose body was not received to its end. */
  Optional<HttpRequest> incompleteRequest() {
    return incompleteRequest;
  }

  /** Returns the handler to place before the HTTP decoder. */
  ChannelInboundHandler bytesHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        // Empty lines between requests belong to none.
        headStarted |=
            message instanceof ByteBuf bytes && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
        context.fireChannelRead(message);
      }
    };
  }

  /** Returns the handler to place between the HTTP decoder and the aggregator. */
  ChannelInboundHandler messageHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
          headStarted = false;
          incompleteRequest = Optional.of(request);
        }
        if (message instanceof LastHttpContent) {
          headStarted = false;
          incompleteRequest = Optional.empty();
        }
        context.fireChannelRead(message);
      }
    };
  }
}
