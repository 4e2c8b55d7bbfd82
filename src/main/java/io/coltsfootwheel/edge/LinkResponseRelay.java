package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.CreditFrame;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.link.RequestIdFrame;
import io.coltsfootwheel.link.ResponseAbortFrame;
import io.coltsfootwheel.link.ResponseChunkFrame;
import io.coltsfootwheel.link.ResponseHeadFrame;
import io.coltsfootwheel.link.ResponseRefusedFrame;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Relay over a link. */
final class LinkResponseRelay implements ResponseRelay {
  /** Bytes of one response that may be under way or buffered at the entry. */
  static final int WINDOW_BYTES = 256 * 1024;

  private static final int CHECKS_PER_IDLE_TIME = 4;
  private static final int CREDIT_RETRY_MILLIS = 5;
  private static final String IDLE = "response made no progress in time";
  private static final String LOST = "connection between entry and dispatcher was lost";

  private final LinkTransport link;
  private final long idleNanos;
  private final Map<StreamKey, Incoming> incoming = new ConcurrentHashMap<>();
  private final Map<StreamKey, Outgoing> outgoing = new ConcurrentHashMap<>();
  private final Disposable idleCheck;

  LinkResponseRelay(LinkTransport link, long idleMillis) {
    this.link = link;
    this.idleNanos = TimeUnit.MILLISECONDS.toNanos(idleMillis);
    long periodMillis = Math.max(1, idleMillis / CHECKS_PER_IDLE_TIME);
    this.idleCheck =
        Schedulers.parallel()
            .schedulePeriodically(this::endIdle, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  LinkTransport link() {
    return link;
  }

  @Override
  public Mono<CallerResponse> expect(InstanceId dispatcher, long requestId) {
    StreamKey key = new StreamKey(dispatcher, requestId);
    Incoming stream = new Incoming(this, key);
    incoming.put(key, stream);
    return stream.response();
  }

  @Override
  public void forget(InstanceId dispatcher, long requestId) {
    incoming.remove(new StreamKey(dispatcher, requestId));
  }

  @Override
  public Mono<Void> send(InstanceId entry, long requestId, CallerResponse response) {
    if (response instanceof CallerResponse.Error) {
      return sendError(entry, requestId, (CallerResponse.Error) response);
    }
    StreamKey key = new StreamKey(entry, requestId);
    CallerResponse.Relayed relayed = (CallerResponse.Relayed) response;
    Outgoing stream = new Outgoing(link, key, relayed, ended -> outgoing.remove(key, ended));
    Outgoing replaced = outgoing.put(key, stream);
    if (replaced != null) {
      replaced.stop();
    }
    relayed.body().subscribe(stream);
    return stream.result();
  }

  private Mono<Void> sendError(InstanceId entry, long requestId, CallerResponse.Error error) {
    Frame frame =
        new ResponseRefusedFrame(
                requestId, error.kind(), error.outcome(), error.detail(), error.retryAfterMillis())
            .toFrame();
    return link.send(entry, frame)
        ? Mono.empty()
        : Mono.error(
            ColtsfootwheelException.of(
                ErrorKind.TARGET_FAILED, "link to " + entry + " did not take the response"));
  }

  @Override
  public void cancel(InstanceId entry, long requestId) {
    Outgoing stream = outgoing.get(new StreamKey(entry, requestId));
    if (stream != null) {
      stream.stop();
    }
  }

  @Override
  public void received(InstanceId from, Frame frame) {
    byte[] payload = frame.payload();
    switch (frame.kind()) {
      case RESPONSE_HEAD -> {
        ResponseHeadFrame head = ResponseHeadFrame.decode(payload);
        with(from, head.requestId(), stream -> stream.head(head));
      }
      case RESPONSE_CHUNK -> {
        ResponseChunkFrame chunk = ResponseChunkFrame.decode(payload);
        with(from, chunk.requestId(), stream -> stream.chunk(chunk.bytes()));
      }
      case RESPONSE_END ->
          last(from, RequestIdFrame.decode(payload).requestId(), Incoming::complete);
      case RESPONSE_REFUSED -> refused(from, ResponseRefusedFrame.decode(payload));
      case RESPONSE_ABORT -> {
        ResponseAbortFrame abort = ResponseAbortFrame.decode(payload);
        last(from, abort.requestId(), stream -> stream.fail(abort.cause()));
      }
      case CREDIT -> credited(from, CreditFrame.decode(payload));
      default -> {
        // Other kinds belong to other parts of the daemon.
      }
    }
  }

  private void refused(InstanceId from, ResponseRefusedFrame frame) {
    CallerResponse.Error error =
        new CallerResponse.Error(
            frame.kind(), frame.outcome(), frame.detail(), frame.retryAfterMillis());
    last(from, frame.requestId(), stream -> stream.refused(error));
  }

  private void credited(InstanceId from, CreditFrame credit) {
    Outgoing stream = outgoing.get(new StreamKey(from, credit.requestId()));
    if (stream != null) {
      stream.addCredit(credit.bytes());
    }
  }

  private void with(InstanceId from, long requestId, Consumer<Incoming> action) {
    Incoming stream = incoming.get(new StreamKey(from, requestId));
    if (stream != null) {
      action.accept(stream);
    }
  }

  private void last(InstanceId from, long requestId, Consumer<Incoming> action) {
    Incoming stream = incoming.remove(new StreamKey(from, requestId));
    if (stream != null) {
      action.accept(stream);
    }
  }

  /** Repeats until the link takes the credit, since lost credit would stop the response. */
  void sendCredit(StreamKey key, Frame credit) {
    if (!link.send(key.peer(), credit) && incoming.containsKey(key)) {
      Schedulers.parallel()
          .schedule(() -> sendCredit(key, credit), CREDIT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void disconnected(InstanceId peer) {
    endAll(key -> key.peer().equals(peer));
  }

  @Override
  public void close() {
    idleCheck.dispose();
    endAll(key -> true);
  }

  private void endAll(Predicate<StreamKey> which) {
    for (StreamKey key : incoming.keySet()) {
      if (which.test(key)) {
        last(key.peer(), key.requestId(), stream -> stream.fail(LOST));
      }
    }
    outgoing.forEach(
        (key, stream) -> {
          if (which.test(key)) {
            stream.stop();
          }
        });
  }

  private void endIdle() {
    long nowNanos = System.nanoTime();
    incoming.forEach(
        (key, stream) -> {
          if (stream.isIdle(nowNanos, idleNanos)) {
            last(key.peer(), key.requestId(), idle -> idle.fail(IDLE));
            link.send(key.peer(), new RequestIdFrame(key.requestId()).toCancel());
          }
        });
    outgoing.values().stream()
        .filter(stream -> stream.isIdle(nowNanos, idleNanos))
        .forEach(stream -> stream.abort(IDLE));
  }
}
