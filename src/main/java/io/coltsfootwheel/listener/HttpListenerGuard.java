package io.coltsfootwheel.listener;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;

/**
 * Bounds what the clients of an HTTP listener can make the process hold: the connections, the input
 * of each, and the memory of all together. Confined to listeners with one event loop.
 *
 * <p>Usage: {@code HttpServer server = new HttpListenerGuard(limits).addTo(HttpServer.create())}.
 */
public final class HttpListenerGuard {
  private static final int MIN_READ_BYTES = 256;
  private static final int FIRST_READ_BYTES = 1024;
  private static final String GATE_NAME = "coltsfootwheel.requestGate";
  private static final String TRACKER_NAME = "coltsfootwheel.requestTracker";

  private final HttpListenerLimits limits;
  private final ConnectionLimiter connections;
  private final ConnectionMemoryBudget memory;

  /**
   * Creates a guard without connections.
   *
   * @param limits limits of the listener
   */
  public HttpListenerGuard(HttpListenerLimits limits) {
    this.limits = limits;
    this.connections = new ConnectionLimiter(limits.maxConnections());
    this.memory = new ConnectionMemoryBudget(limits.maxHeldBytes());
  }

  /**
   * Adds the bounds to a server.
   *
   * @param server a server that is not bound yet and has one event loop
   * @return the server with the bounds
   */
  public HttpServer addTo(HttpServer server) {
    return server
        .childOption(
            ChannelOption.RCVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(
                MIN_READ_BYTES, FIRST_READ_BYTES, limits.maxReadBytes()))
        .doOnChannelInit((observer, channel, remote) -> guard(channel));
  }

  private void guard(Channel channel) {
    RequestGate gate = new RequestGate(channel);
    RequestTracker tracker = new RequestTracker(channel, gate, limits, memory, connections);
    gate.track(tracker);
    if (connections.admit(channel, tracker::mayClose)) {
      channel.pipeline().addBefore(NettyPipeline.HttpCodec, GATE_NAME, gate);
      channel.pipeline().addAfter(NettyPipeline.HttpCodec, TRACKER_NAME, tracker);
    }
  }
}
