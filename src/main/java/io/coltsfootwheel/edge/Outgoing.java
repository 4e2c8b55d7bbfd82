package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.link.RequestIdFrame;
import io.coltsfootwheel.link.ResponseAbortFrame;
import io.coltsfootwheel.link.ResponseChunkFrame;
import io.coltsfootwheel.link.ResponseHeadFrame;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Response that leaves the dispatcher; holds at most one part of the body. */
final class Outgoing extends BaseSubscriber<ByteBuf> {
  /** Keeps a large part from delaying the responses that share the connection. */
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** Pause after the link's queue was full. */
  private static final long RETRY_MILLIS = 5;

  private final LinkTransport link;
  private final StreamKey key;
  private final Consumer<Outgoing> onEnd;
  private final Sinks.Empty<Void> result = Sinks.empty();
  private final AtomicInteger work = new AtomicInteger();
  private final AtomicInteger credit = new AtomicInteger(LinkResponseRelay.WINDOW_BYTES);

  private volatile Frame head;
  private volatile ByteBuf held;
  private volatile boolean requested;
  private volatile boolean sourceDone;
  private volatile Throwable failure;
  private volatile boolean stopped;
  private volatile boolean ended;
  private volatile long progressNanos = System.nanoTime();

  Outgoing(
      LinkTransport link,
      StreamKey key,
      CallerResponse.Relayed response,
      Consumer<Outgoing> onEnd) {
    this.link = link;
    this.key = key;
    this.onEnd = onEnd;
    this.head =
        new ResponseHeadFrame(
                key.requestId(), response.target().value(), response.status(), response.headers())
            .toFrame();
  }

  Mono<Void> result() {
    return result.asMono();
  }

  void addCredit(int bytes) {
    if (bytes > 0) {
      credit.accumulateAndGet(
          bytes, (now, more) -> (int) Math.min(LinkResponseRelay.WINDOW_BYTES, (long) now + more));
      pump();
    }
  }

  /** Aborts the response towards the entry. */
  void abort(String cause) {
    cancel();
    failure = ColtsfootwheelException.of(ErrorKind.TARGET_FAILED, cause);
    pump();
  }

  /** Stops without a further frame, because the entry has gone or does not want the response. */
  void stop() {
    stopped = true;
    cancel();
    pump();
  }

  boolean isIdle(long nowNanos, long idleNanos) {
    return !ended && nowNanos - progressNanos > idleNanos;
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    pump();
  }

  @Override
  protected void hookOnNext(ByteBuf part) {
    held = part;
    requested = false;
    pump();
  }

  @Override
  protected void hookOnComplete() {
    sourceDone = true;
    pump();
  }

  @Override
  protected void hookOnError(Throwable error) {
    failure = error;
    pump();
  }

  /** Serializes the steps, because the source, credit and timers run on different threads. */
  private void pump() {
    if (work.getAndIncrement() != 0) {
      return;
    }
    int missed = 1;
    do {
      step();
      missed = work.addAndGet(-missed);
    } while (missed != 0);
  }

  private void step() {
    if (ended) {
      releaseHeld();
    } else if (stopped) {
      end(ColtsfootwheelException.of(ErrorKind.TARGET_FAILED, "response was cancelled"));
    } else if (failure != null) {
      // When the queue is full, the entry ends the response by its idle timeout.
      link.send(key.peer(), new ResponseAbortFrame(key.requestId(), failure.toString()).toFrame());
      end(failure);
    } else if (!sendHead() || !sendHeld()) {
      Schedulers.parallel().schedule(this::pump, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    } else if (held == null) {
      advance();
    }
  }

  private boolean sendHead() {
    if (head != null) {
      if (!link.send(key.peer(), head)) {
        return false;
      }
      head = null;
      progressNanos = System.nanoTime();
    }
    return true;
  }

  /** Sends as much of the held part as credit allows; false when the link took no more. */
  private boolean sendHeld() {
    ByteBuf part = held;
    while (part != null && part.isReadable() && credit.get() > 0) {
      int length = Math.min(Math.min(part.readableBytes(), credit.get()), MAX_CHUNK_BYTES);
      byte[] bytes = new byte[length];
      part.getBytes(part.readerIndex(), bytes);
      if (!link.send(key.peer(), new ResponseChunkFrame(key.requestId(), bytes).toFrame())) {
        return false;
      }
      part.skipBytes(length);
      credit.addAndGet(-length);
      progressNanos = System.nanoTime();
    }
    if (part != null && !part.isReadable()) {
      releaseHeld();
    }
    return true;
  }

  private void advance() {
    if (!sourceDone) {
      if (!requested) {
        requested = true;
        request(1);
      }
    } else if (link.send(key.peer(), new RequestIdFrame(key.requestId()).toEnd())) {
      ended = true;
      onEnd.accept(this);
      result.tryEmitEmpty();
    } else {
      Schedulers.parallel().schedule(this::pump, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void end(Throwable cause) {
    ended = true;
    releaseHeld();
    onEnd.accept(this);
    result.tryEmitError(cause);
  }

  private void releaseHeld() {
    ByteBuf part = held;
    if (part != null) {
      held = null;
      part.release();
    }
  }
}
