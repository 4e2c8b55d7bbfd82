package io.coltsfootwheel.relay;

import io.coltsfootwheel.model.Address;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/** Options of the listener for clients and of their connections. */
final class ClientListener {
  /**
   * Unwritten bytes of a client from which on it is not read and no further response is written,
   * and those at which that ends. The high mark holds four responses of 60 kB; 64 clients that read
   * nothing and pipeline no requests hold as much as {@link BufferedBodyBudget} allows.
   */
  private static final WriteBufferWaterMark CLIENT_WATER_MARK =
      new WriteBufferWaterMark(64 * 1024, 256 * 1024);

  private static final int MIN_READ_BYTES = 256;
  private static final int FIRST_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 16 * 1024;
  private static final int LISTEN_BACKLOG = 1_024;

  private ClientListener() {}

  /** Returns a listener that is not bound yet. */
  static TcpServer create(Address address, LoopResources loops) {
    return TcpServer.create()
        .runOn(loops, false)
        .host(address.host())
        .port(address.port())
        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RCVBUF_ALLOCATOR,
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1))
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, CLIENT_WATER_MARK);
  }
}
