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

/**
 * Response that the dispatcher sends to an entry instance; buffers at most one part of the body.
 */
final class OutgoingResponse extends BaseSubscriber<ByteBuf> {
  /** Limits chunks, so that a large part does not delay other responses on the connection. */
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** Delay before a frame is sent again after the link's queue was full. */
  private static final long RETRY_DELAY_MILLIS = 5;

  private final LinkTransport link;
  private final StreamKey key;
  private final Consumer<OutgoingResponse> onEnd;
  private final Sinks.Empty<Void> result = Sinks.empty();
  private final AtomicInteger pendingDrains = new AtomicInteger();
  private final AtomicInteger availableCredit =
      new AtomicInteger(LinkResponseRelay.CREDIT_WINDOW_BYTES);

  private volatile Frame unsentHead;
  private volatile ByteBuf pendingPart;
  private volatile boolean partRequested;
  private volatile boolean sourceCompleted;
  private volatile Throwable failure;
  private volatile boolean stopped;
  private volatile boolean ended;
  private volatile long lastProgressNanos = System.nanoTime();

  OutgoingResponse(
      LinkTransport link,
      StreamKey key,
      CallerResponse.Relayed response,
      Consumer<OutgoingResponse> onEnd) {
    this.link = link;
    this.key = key;
    this.onEnd = onEnd;
    this.unsentHead =
        new ResponseHeadFrame(
                key.requestId(), response.target().value(), response.status(), response.headers())
            .toFrame();
  }

  Mono<Void> result() {
    return result.asMono();
  }

  void addCredit(int bytes) {
    if (bytes > 0) {
      availableCredit.accumulateAndGet(
          bytes,
          (current, added) ->
              (int) Math.min(LinkResponseRelay.CREDIT_WINDOW_BYTES, (long) current + added));
      drain();
    }
  }

  /** Aborts the response and notifies the entry instance. */
  void abort(String cause) {
    cancel();
    failure = ColtsfootwheelException.of(ErrorKind.TARGET_FAILED, cause);
    drain();
  }

  /** Stops without sending another frame, because the entry instance disconnected or cancelled. */
  void stop() {
    stopped = true;
    cancel();
    drain();
  }

  boolean isIdle(long nowNanos, long idleTimeoutNanos) {
    return !ended && nowNanos - lastProgressNanos > idleTimeoutNanos;
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    drain();
  }

  @Override
  protected void hookOnNext(ByteBuf part) {
    pendingPart = part;
    partRequested = false;
    drain();
  }

  @Override
  protected void hookOnComplete() {
    sourceCompleted = true;
    drain();
  }

  @Override
  protected void hookOnError(Throwable error) {
    failure = error;
    drain();
  }

  /**
   * Sends what can be sent. Calls are serialized, because the body, credit and timers signal on
   * different threads.
   */
  private void drain() {
    if (pendingDrains.getAndIncrement() != 0) {
      return;
    }
    int handledDrains = 1;
    do {
      drainStep();
      handledDrains = pendingDrains.addAndGet(-handledDrains);
    } while (handledDrains != 0);
  }

  private void drainStep() {
    if (ended) {
      releasePendingPart();
    } else if (stopped) {
      endWithError(ColtsfootwheelException.of(ErrorKind.TARGET_FAILED, "response was cancelled"));
    } else if (failure != null) {
      // If the queue is full, the idle timeout of the entry instance ends the response instead.
      link.send(key.peer(), new ResponseAbortFrame(key.requestId(), failure.toString()).toFrame());
      endWithError(failure);
    } else if (!sendHead() || !sendPendingPart()) {
      Schedulers.parallel().schedule(this::drain, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else if (pendingPart == null) {
      requestNextOrEnd();
    }
  }

  private boolean sendHead() {
    if (unsentHead != null) {
      if (!link.send(key.peer(), unsentHead)) {
        return false;
      }
      unsentHead = null;
      lastProgressNanos = System.nanoTime();
    }
    return true;
  }

  /** Sends as much of the pending part as the credit allows; false if the link rejected a frame. */
  private boolean sendPendingPart() {
    ByteBuf part = pendingPart;
    while (part != null && part.isReadable() && availableCredit.get() > 0) {
      int length = Math.min(Math.min(part.readableBytes(), availableCredit.get()), MAX_CHUNK_BYTES);
      byte[] bytes = new byte[length];
      part.getBytes(part.readerIndex(), bytes);
      if (!link.send(key.peer(), new ResponseChunkFrame(key.requestId(), bytes).toFrame())) {
        return false;
      }
      part.skipBytes(length);
      availableCredit.addAndGet(-length);
      lastProgressNanos = System.nanoTime();
    }
    if (part != null && !part.isReadable()) {
      releasePendingPart();
    }
    return true;
  }

  private void requestNextOrEnd() {
    if (!sourceCompleted) {
      if (!partRequested) {
        partRequested = true;
        request(1);
      }
    } else if (link.send(key.peer(), new RequestIdFrame(key.requestId()).toEnd())) {
      ended = true;
      onEnd.accept(this);
      result.tryEmitEmpty();
    } else {
      Schedulers.parallel().schedule(this::drain, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void endWithError(Throwable cause) {
    ended = true;
    releasePendingPart();
    onEnd.accept(this);
    result.tryEmitError(cause);
  }

  private void releasePendingPart() {
    ByteBuf part = pendingPart;
    if (part != null) {
      pendingPart = null;
      part.release();
    }
  }
}
