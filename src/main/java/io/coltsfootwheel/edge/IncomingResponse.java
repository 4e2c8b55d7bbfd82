package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.CreditFrame;
import io.coltsfootwheel.link.RequestIdFrame;
import io.coltsfootwheel.link.ResponseHeadFrame;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetId;
import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Response that the entry instance receives from a dispatcher. */
final class IncomingResponse {
  /** Credit is returned in steps of this size to reduce the number of frames. */
  private static final int CREDIT_STEP_BYTES = LinkResponseRelay.CREDIT_WINDOW_BYTES / 4;

  private final LinkResponseRelay relay;
  private final StreamKey key;
  private final Sinks.One<CallerResponse> headSink = Sinks.one();
  private final Sinks.Many<ByteBuf> bodySink = Sinks.many().unicast().onBackpressureBuffer();

  private boolean headReceived;
  private boolean ended;
  private int unreturnedCreditBytes;
  private int releasedCreditBytes;
  private long lastProgressNanos;

  IncomingResponse(LinkResponseRelay relay, StreamKey key) {
    this.relay = relay;
    this.key = key;
  }

  Mono<CallerResponse> response() {
    return headSink.asMono().doOnCancel(() -> relay.remove(key.peer(), key.requestId()));
  }

  synchronized void onHead(ResponseHeadFrame frame) {
    if (headReceived || ended) {
      return;
    }
    headReceived = true;
    lastProgressNanos = System.nanoTime();
    headSink.tryEmitValue(
        new CallerResponse.Relayed(
            TargetId.of(frame.target()),
            frame.status(),
            frame.headers(),
            bodySink.asFlux().doOnCancel(this::cancel)));
  }

  synchronized void onChunk(byte[] bytes) {
    if (!headReceived || ended) {
      return;
    }
    unreturnedCreditBytes += bytes.length;
    lastProgressNanos = System.nanoTime();
    if (unreturnedCreditBytes > LinkResponseRelay.CREDIT_WINDOW_BYTES) {
      fail("dispatcher sent more than its flow-control credit");
      cancel();
      return;
    }
    bodySink.tryEmitNext(new CreditedBuffer(bytes, this));
  }

  synchronized void onComplete() {
    if (!headReceived) {
      fail("response ended without a head");
      return;
    }
    ended = true;
    bodySink.tryEmitComplete();
  }

  synchronized void onRefused(CallerResponse.Error error) {
    if (headReceived) {
      fail(error.detail());
      return;
    }
    ended = true;
    headSink.tryEmitValue(error);
  }

  /**
   * Fails the response: with an error response of unknown outcome before its head, with a truncated
   * body after it.
   */
  synchronized void fail(String cause) {
    if (ended) {
      return;
    }
    ended = true;
    if (headReceived) {
      bodySink.tryEmitError(ColtsfootwheelException.of(ErrorKind.TARGET_FAILED, cause));
    } else {
      headSink.tryEmitValue(CallerResponse.error(ErrorKind.TARGET_FAILED, cause));
    }
  }

  void onBytesReleased(int bytes) {
    int returnedBytes = 0;
    synchronized (this) {
      lastProgressNanos = System.nanoTime();
      releasedCreditBytes += bytes;
      if (releasedCreditBytes >= CREDIT_STEP_BYTES && !ended) {
        returnedBytes = releasedCreditBytes;
        releasedCreditBytes = 0;
        unreturnedCreditBytes -= returnedBytes;
      }
    }
    if (returnedBytes > 0) {
      relay.sendCredit(key, new CreditFrame(key.requestId(), returnedBytes).toFrame());
    }
  }

  /**
   * Returns whether the body made no progress for the timeout. Before the head arrives, the request
   * deadline applies instead.
   */
  synchronized boolean isIdle(long nowNanos, long idleTimeoutNanos) {
    return headReceived && !ended && nowNanos - lastProgressNanos > idleTimeoutNanos;
  }

  private void cancel() {
    relay.remove(key.peer(), key.requestId());
    relay.link().send(key.peer(), new RequestIdFrame(key.requestId()).toCancel());
  }
}
