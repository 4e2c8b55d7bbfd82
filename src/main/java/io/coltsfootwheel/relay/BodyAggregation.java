package io.coltsfootwheel.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import java.util.function.IntFunction;

/**
 * Aggregates the body of each request within the limit of its version of the configuration: the
 * aggregator behind this handler is replaced before a request to which another limit applies.
 */
final class BodyAggregation extends ChannelInboundHandlerAdapter {
  private static final String AGGREGATOR_NAME = "aggregator";

  private final ClientRequestDecoder decoder;
  private final IntFunction<RequestAggregator> factory;
  private int maxBodyBytes;
  private RequestAggregator aggregator;

  /**
   * Creates the handler and the first aggregator.
   *
   * @param decoder knows the version of the request that is passed on
   * @param factory creates an aggregator from the largest body
   */
  BodyAggregation(ClientRequestDecoder decoder, IntFunction<RequestAggregator> factory) {
    this.decoder = decoder;
    this.factory = factory;
    create();
  }

  private void create() {
    maxBodyBytes = (int) decoder.limits().maxBodyBytes();
    aggregator = factory.apply(maxBodyBytes);
  }

  /** Returns the name of the aggregator in the pipeline. */
  static String aggregatorName() {
    return AGGREGATOR_NAME;
  }

  /** Returns the aggregator to add behind this handler. */
  RequestAggregator aggregator() {
    return aggregator;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    boolean isOtherLimit = maxBodyBytes != decoder.limits().maxBodyBytes();
    if (message instanceof HttpRequest && isOtherLimit && !aggregator.hasRejected()) {
      create();
      context.pipeline().replace(AGGREGATOR_NAME, AGGREGATOR_NAME, aggregator);
    }
    context.fireChannelRead(message);
  }
}
