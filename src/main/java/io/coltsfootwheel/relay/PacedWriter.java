package io.coltsfootwheel.relay;

import io.coltsfootwheel.loadcontrol.TransferPacer;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Writes requests to targets: those with large bodies in parts, one body after the other, as far as
 * a {@link TransferPacer} allows. Confined to the relay's event loop.
 */
final class PacedWriter {
  /** Delay until a body whose target reads slowly is tried again, when there is no other one. */
  private static final long BLOCKED_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final TransferPacer pacer;
  private final EventLoop eventLoop;
  private final ArrayDeque<Body> bodies = new ArrayDeque<>();
  private boolean scheduled;

  /** Body whose parts are being written. */
  private record Body(Channel channel, ByteBuf content, ChannelPromise written) {}

  PacedWriter(TransferPacer pacer, EventLoop eventLoop) {
    this.pacer = pacer;
    this.eventLoop = eventLoop;
  }

  /** Creates a writer that sends all bodies at once when the rate of the link is not known. */
  static PacedWriter ofLink(OptionalLong bytesPerSecond, EventLoop eventLoop) {
    TransferPacer pacer =
        bytesPerSecond.isPresent()
            ? TransferPacer.ofLink(bytesPerSecond.getAsLong())
            : TransferPacer.unlimited();
    return new PacedWriter(pacer, eventLoop);
  }

  TransferPacer pacer() {
    return pacer;
  }

  /**
   * Writes a request.
   *
   * @param channel connection to a target
   * @param request the request; its reference passes to this method
   * @return completes when the whole request has been written
   */
  ChannelFuture write(Channel channel, FullHttpRequest request) {
    int bytes = request.content().readableBytes();
    if (!pacer.isPaced(bytes)) {
      return channel.writeAndFlush(request);
    }
    channel.writeAndFlush(
        new DefaultHttpRequest(
            request.protocolVersion(), request.method(), request.uri(), request.headers()));
    Body body = new Body(channel, request.content(), channel.newPromise());
    pacer.add(bytes);
    bodies.addLast(body);
    if (!scheduled) {
      writePart();
    }
    return body.written();
  }

  /** Writes the next part of the first body whose target takes it. */
  private void writePart() {
    scheduled = false;
    dropClosed();
    int tried = 0;
    while (tried < bodies.size() && !bodies.peekFirst().channel().isWritable()) {
      bodies.addLast(bodies.pollFirst());
      tried++;
    }
    if (tried < bodies.size()) {
      schedule(pacer.nanosUntilNextPart(writePartOf(bodies.peekFirst())));
    } else if (!bodies.isEmpty()) {
      schedule(BLOCKED_RETRY_NANOS);
    }
  }

  private int writePartOf(Body body) {
    int bytes = Math.min(pacer.partBytes(), body.content().readableBytes());
    ByteBuf part = body.content().readRetainedSlice(bytes);
    pacer.remove(bytes);
    if (body.content().isReadable()) {
      HttpContent content = new DefaultHttpContent(part);
      body.channel().writeAndFlush(content);
    } else {
      bodies.pollFirst();
      body.channel().writeAndFlush(new DefaultLastHttpContent(part), body.written());
      body.content().release();
    }
    return bytes;
  }

  private void dropClosed() {
    bodies.removeIf(
        body -> {
          boolean isClosed = !body.channel().isActive();
          if (isClosed) {
            pacer.remove(body.content().readableBytes());
            body.content().release();
            body.written().tryFailure(new ClosedChannelException());
          }
          return isClosed;
        });
  }

  private void schedule(long delayNanos) {
    scheduled = true;
    eventLoop.schedule(this::writePart, delayNanos, TimeUnit.NANOSECONDS);
  }
}
