package io.coltsfootwheel.bench;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Sends prepared requests over a fixed number of connections, in a closed or an open loop.
 *
 * <p>The latency of the open loop counts from the due time of a request, so it includes the wait
 * for an idle connection.
 */
final class HttpLoadGenerator implements AutoCloseable {
  /** Result of a closed or an open loop; latencies are in microseconds. */
  record Result(long completed, long failed, double seconds, Histogram latency) {
    double perSecond() {
      return completed / seconds;
    }
  }

  private static final int EVENT_LOOP_THREADS = 2;
  private static final int MAX_RESPONSE_BYTES = 64 * 1024;
  private static final long MAX_LATENCY_MICROS = 60_000_000;
  private static final long IDLE_TIMEOUT_NANOS = 20_000_000_000L;
  private static final long MAX_PARK_NANOS = 200_000;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
  private final List<byte[]> requests = new ArrayList<>();
  private final List<Connection> connections = new ArrayList<>();
  private final Queue<Connection> idleConnections = new ArrayDeque<>();
  private final Queue<Long> queuedDueNanos = new ArrayDeque<>();
  private final AtomicInteger nextRequest = new AtomicInteger();
  private volatile boolean closedLoop;
  private volatile Histogram latency = newHistogram();
  private final AtomicInteger failures = new AtomicInteger();

  HttpLoadGenerator(int port, String service, List<String> keys, int connectionCount) {
    for (String key : keys) {
      String request =
          "GET /s/%s/balance HTTP/1.1\r\nHost: 127.0.0.1\r\nColtsfootwheel-Key: %s\r\n\r\n"
              .formatted(service, key);
      requests.add(request.getBytes(StandardCharsets.US_ASCII));
    }
    for (int i = 0; i < connectionCount; i++) {
      Connection connection = new Connection();
      connection.channel = connect(port, connection);
      connections.add(connection);
      idleConnections.add(connection);
    }
  }

  /** Keeps one request in flight on each connection. */
  Result closedLoop(double seconds) throws InterruptedException {
    reset();
    closedLoop = true;
    synchronized (idleConnections) {
      idleConnections.clear();
    }
    long startNanos = System.nanoTime();
    connections.forEach(connection -> send(connection, System.nanoTime()));
    Thread.sleep((long) (seconds * 1_000));
    Result result = result(startNanos);
    closedLoop = false;
    awaitIdle();
    return result;
  }

  /** Sends at a fixed rate whether or not responses arrive. */
  Result openLoop(double seconds, double requestsPerSecond) throws InterruptedException {
    reset();
    long startNanos = System.nanoTime();
    long requestCount = (long) (seconds * requestsPerSecond);
    for (long i = 0; i < requestCount; i++) {
      long dueNanos = startNanos + (long) (i * 1e9 / requestsPerSecond);
      while (System.nanoTime() - dueNanos < 0) {
        LockSupport.parkNanos(Math.min(MAX_PARK_NANOS, dueNanos - System.nanoTime()));
      }
      sendOrQueue(dueNanos);
    }
    awaitIdle();
    return result(startNanos);
  }

  @Override
  public void close() {
    connections.forEach(connection -> connection.channel.close());
    eventLoops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private void reset() {
    latency = newHistogram();
    failures.set(0);
  }

  private Result result(long startNanos) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    return new Result(latency.getTotalCount(), failures.get(), seconds, latency);
  }

  private void sendOrQueue(long dueNanos) {
    Connection connection;
    synchronized (idleConnections) {
      connection = idleConnections.poll();
      if (connection == null) {
        queuedDueNanos.add(dueNanos);
        return;
      }
    }
    send(connection, dueNanos);
  }

  private void send(Connection connection, long dueNanos) {
    connection.dueNanos = dueNanos;
    byte[] request = requests.get(Math.floorMod(nextRequest.getAndIncrement(), requests.size()));
    connection.channel.writeAndFlush(
        Unpooled.wrappedBuffer(request), connection.channel.voidPromise());
  }

  private void responseReceived(Connection connection, int status) {
    if (status == 200) {
      latency.recordValue(
          Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - connection.dueNanos) / 1_000));
    } else {
      failures.incrementAndGet();
    }
    Long nextDueNanos = null;
    if (!closedLoop) {
      synchronized (idleConnections) {
        nextDueNanos = queuedDueNanos.poll();
        if (nextDueNanos == null) {
          idleConnections.add(connection);
          idleConnections.notifyAll();
          return;
        }
      }
    }
    send(connection, nextDueNanos == null ? System.nanoTime() : nextDueNanos);
  }

  private void awaitIdle() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + IDLE_TIMEOUT_NANOS;
    synchronized (idleConnections) {
      while (idleConnections.size() < connections.size()) {
        if (System.nanoTime() - deadlineNanos > 0) {
          throw new IllegalStateException(
              connections.size() - idleConnections.size() + " requests without a response");
        }
        idleConnections.wait(100);
      }
    }
  }

  private Channel connect(int port, Connection connection) {
    return new Bootstrap()
        .group(eventLoops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpResponseDecoder(), new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                    .addLast(connection);
              }
            })
        .connect("127.0.0.1", port)
        .syncUninterruptibly()
        .channel();
  }

  private static Histogram newHistogram() {
    return new SynchronizedHistogram(MAX_LATENCY_MICROS, 3);
  }

  /** One connection with at most one request in flight. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private long dueNanos;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      responseReceived(this, response.status().code());
    }
  }
}
