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
 * <p>The latency of the open loop counts from the time at which a request was due, so it includes
 * the wait for a free connection.
 */
final class HttpLoad implements AutoCloseable {
  /** What a loop has seen; latency is in microseconds. */
  record Result(long completed, long failed, double seconds, Histogram latency) {
    double perSecond() {
      return completed / seconds;
    }
  }

  private static final int THREADS = 2;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final long MAX_MICROS = 60_000_000;
  private static final long IDLE_LIMIT_NANOS = 20_000_000_000L;
  private static final long STEP_NANOS = 200_000;

  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
  private final List<byte[]> requests = new ArrayList<>();
  private final List<Caller> callers = new ArrayList<>();
  private final Queue<Caller> idle = new ArrayDeque<>();
  private final Queue<Long> due = new ArrayDeque<>();
  private final AtomicInteger next = new AtomicInteger();
  private volatile boolean closedLoop;
  private volatile Histogram latency = histogram();
  private final AtomicInteger failures = new AtomicInteger();

  HttpLoad(int port, String service, List<String> keys, int connections) {
    for (String key : keys) {
      String text =
          "GET /s/%s/balance HTTP/1.1\r\nHost: 127.0.0.1\r\nColtsfootwheel-Key: %s\r\n\r\n"
              .formatted(service, key);
      requests.add(text.getBytes(StandardCharsets.US_ASCII));
    }
    for (int i = 0; i < connections; i++) {
      Caller caller = new Caller();
      caller.channel = connect(port, caller);
      callers.add(caller);
      idle.add(caller);
    }
  }

  /** Keeps one request in flight on each connection. */
  Result closedLoop(double seconds) throws InterruptedException {
    reset();
    closedLoop = true;
    synchronized (idle) {
      idle.clear();
    }
    long startNanos = System.nanoTime();
    callers.forEach(caller -> send(caller, System.nanoTime()));
    Thread.sleep((long) (seconds * 1_000));
    Result result = result(startNanos);
    closedLoop = false;
    awaitIdle();
    return result;
  }

  /** Sends at a fixed rate whether or not responses arrive. */
  Result openLoop(double seconds, double perSecond) throws InterruptedException {
    reset();
    long startNanos = System.nanoTime();
    long count = (long) (seconds * perSecond);
    for (long i = 0; i < count; i++) {
      long dueNanos = startNanos + (long) (i * 1e9 / perSecond);
      while (System.nanoTime() - dueNanos < 0) {
        LockSupport.parkNanos(Math.min(STEP_NANOS, dueNanos - System.nanoTime()));
      }
      offer(dueNanos);
    }
    awaitIdle();
    return result(startNanos);
  }

  @Override
  public void close() {
    callers.forEach(caller -> caller.channel.close());
    loops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
  }

  private void reset() {
    latency = histogram();
    failures.set(0);
  }

  private Result result(long startNanos) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    return new Result(latency.getTotalCount(), failures.get(), seconds, latency);
  }

  private void offer(long dueNanos) {
    Caller caller;
    synchronized (idle) {
      caller = idle.poll();
      if (caller == null) {
        due.add(dueNanos);
        return;
      }
    }
    send(caller, dueNanos);
  }

  private void send(Caller caller, long dueNanos) {
    caller.dueNanos = dueNanos;
    byte[] request = requests.get(Math.floorMod(next.getAndIncrement(), requests.size()));
    caller.channel.writeAndFlush(Unpooled.wrappedBuffer(request), caller.channel.voidPromise());
  }

  private void completed(Caller caller, int status) {
    if (status == 200) {
      latency.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - caller.dueNanos) / 1_000));
    } else {
      failures.incrementAndGet();
    }
    Long waiting = null;
    if (!closedLoop) {
      synchronized (idle) {
        waiting = due.poll();
        if (waiting == null) {
          idle.add(caller);
          idle.notifyAll();
          return;
        }
      }
    }
    send(caller, waiting == null ? System.nanoTime() : waiting);
  }

  private void awaitIdle() throws InterruptedException {
    long endNanos = System.nanoTime() + IDLE_LIMIT_NANOS;
    synchronized (idle) {
      while (idle.size() < callers.size()) {
        if (System.nanoTime() - endNanos > 0) {
          throw new IllegalStateException(callers.size() - idle.size() + " requests unanswered");
        }
        idle.wait(100);
      }
    }
  }

  private Channel connect(int port, Caller caller) {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(caller);
              }
            })
        .connect("127.0.0.1", port)
        .syncUninterruptibly()
        .channel();
  }

  private static Histogram histogram() {
    return new SynchronizedHistogram(MAX_MICROS, 3);
  }

  /** One connection with at most one request in flight. */
  private final class Caller extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Channel channel;
    private long dueNanos;

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      completed(this, response.status().code());
    }
  }
}
