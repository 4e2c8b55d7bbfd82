package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Tracks whether a client connection has received a part of a request, also behind other requests.
 */
final class RequestReadProgress {
  private final ClientRequestDecoder decoder;
  private Optional<HttpRequest> incompleteRequest = Optional.empty();

  RequestReadProgress(ClientRequestDecoder decoder) {
    this.decoder = decoder;
  }

  /** Returns whether bytes of a request were decoded whose end is missing. */
  boolean isPartial() {
    return incompleteRequest.isPresent() || decoder.hasPartialHead();
  }

  /** Returns the head of a request whose body was not received to its end. */
  Optional<HttpRequest> incompleteRequest() {
    return incompleteRequest;
  }

  /** Returns the handler to place between the HTTP decoder and the aggregator. */
  ChannelInboundHandler messageHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
          incompleteRequest = Optional.of(request);
        }
        if (message instanceof LastHttpContent) {
          incompleteRequest = Optional.empty();
        }
        context.fireChannelRead(message);
      }
    };
  }
}
