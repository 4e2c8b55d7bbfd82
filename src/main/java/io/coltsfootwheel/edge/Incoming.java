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

/** Response that arrives at the entry. */
final class Incoming {
  /** Credit is returned in parts of this size to save frames. */
  private static final int CREDIT_STEP_BYTES = LinkResponseRelay.WINDOW_BYTES / 4;

  private final LinkResponseRelay relay;
  private final StreamKey key;
  private final Sinks.One<CallerResponse> head = Sinks.one();
  private final Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();

  private boolean headSeen;
  private boolean ended;
  private int unreturnedBytes;
  private int releasedBytes;
  private long progressNanos;

  Incoming(LinkResponseRelay relay, StreamKey key) {
    this.relay = relay;
    this.key = key;
  }

  Mono<CallerResponse> response() {
    return head.asMono().doOnCancel(() -> relay.forget(key.peer(), key.requestId()));
  }

  synchronized void head(ResponseHeadFrame frame) {
    if (headSeen || ended) {
      return;
    }
    headSeen = true;
    progressNanos = System.nanoTime();
    head.tryEmitValue(
        new CallerResponse.Relayed(
            TargetId.of(frame.target()),
            frame.status(),
            frame.headers(),
            body.asFlux().doOnCancel(this::cancelled)));
  }

  synchronized void chunk(byte[] bytes) {
    if (!headSeen || ended) {
      return;
    }
    unreturnedBytes += bytes.length;
    progressNanos = System.nanoTime();
    if (unreturnedBytes > LinkResponseRelay.WINDOW_BYTES) {
      fail("dispatcher sent more than its credit");
      cancelled();
      return;
    }
    body.tryEmitNext(new CreditedBuffer(bytes, this));
  }

  synchronized void complete() {
    if (!headSeen) {
      fail("response ended without a head");
      return;
    }
    ended = true;
    body.tryEmitComplete();
  }

  synchronized void refused(CallerResponse.Error error) {
    if (headSeen) {
      fail(error.detail());
      return;
    }
    ended = true;
    head.tryEmitValue(error);
  }

  /** Ends the response: as unknown before its head, as truncated after it. */
  synchronized void fail(String cause) {
    if (ended) {
      return;
    }
    ended = true;
    if (headSeen) {
      body.tryEmitError(ColtsfootwheelException.of(ErrorKind.TARGET_FAILED, cause));
    } else {
      head.tryEmitValue(CallerResponse.error(ErrorKind.TARGET_FAILED, cause));
    }
  }

  void released(int bytes) {
    int returned = 0;
    synchronized (this) {
      progressNanos = System.nanoTime();
      releasedBytes += bytes;
      if (releasedBytes >= CREDIT_STEP_BYTES && !ended) {
        returned = releasedBytes;
        releasedBytes = 0;
        unreturnedBytes -= returned;
      }
    }
    if (returned > 0) {
      relay.sendCredit(key, new CreditFrame(key.requestId(), returned).toFrame());
    }
  }

  /** Only a response whose head has arrived can be idle; before, the deadline applies. */
  synchronized boolean isIdle(long nowNanos, long idleNanos) {
    return headSeen && !ended && nowNanos - progressNanos > idleNanos;
  }

  private void cancelled() {
    relay.forget(key.peer(), key.requestId());
    relay.link().send(key.peer(), new RequestIdFrame(key.requestId()).toCancel());
  }
}
