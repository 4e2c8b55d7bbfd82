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

/** Response relay based on a {@link LinkTransport}. */
final class LinkResponseRelay implements ResponseRelay {
  /** Maximum bytes of one response that are in transit or buffered at the entry instance. */
  static final int CREDIT_WINDOW_BYTES = 256 * 1024;

  private static final int CHECKS_PER_IDLE_TIMEOUT = 4;
  private static final int CREDIT_RETRY_DELAY_MILLIS = 5;
  private static final String IDLE_CAUSE = "response made no progress in time";
  private static final String DISCONNECTED_CAUSE =
      "connection between entry and dispatcher was lost";

  private final LinkTransport link;
  private final long idleTimeoutNanos;
  private final Map<StreamKey, IncomingResponse> incoming = new ConcurrentHashMap<>();
  private final Map<StreamKey, OutgoingResponse> outgoing = new ConcurrentHashMap<>();
  private final Disposable idleCheck;

  LinkResponseRelay(LinkTransport link, long idleTimeoutMillis) {
    this.link = link;
    this.idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(idleTimeoutMillis);
    long periodMillis = Math.max(1, idleTimeoutMillis / CHECKS_PER_IDLE_TIMEOUT);
    this.idleCheck =
        Schedulers.parallel()
            .schedulePeriodically(
                this::endIdleStreams, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  LinkTransport link() {
    return link;
  }

  @Override
  public Mono<CallerResponse> expect(InstanceId dispatcher, long requestId) {
    StreamKey key = new StreamKey(dispatcher, requestId);
    IncomingResponse stream = new IncomingResponse(this, key);
    incoming.put(key, stream);
    return stream.response();
  }

  @Override
  public void remove(InstanceId dispatcher, long requestId) {
    incoming.remove(new StreamKey(dispatcher, requestId));
  }

  @Override
  public Mono<Void> send(InstanceId entry, long requestId, CallerResponse response) {
    if (response instanceof CallerResponse.Error) {
      return sendError(entry, requestId, (CallerResponse.Error) response);
    }
    StreamKey key = new StreamKey(entry, requestId);
    CallerResponse.Relayed relayed = (CallerResponse.Relayed) response;
    OutgoingResponse stream =
        new OutgoingResponse(link, key, relayed, finished -> outgoing.remove(key, finished));
    OutgoingResponse replaced = outgoing.put(key, stream);
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
                ErrorKind.TARGET_FAILED, "link to " + entry + " rejected the response"));
  }

  @Override
  public void cancel(InstanceId entry, long requestId) {
    OutgoingResponse stream = outgoing.get(new StreamKey(entry, requestId));
    if (stream != null) {
      stream.stop();
    }
  }

  @Override
  public int outgoingResponses() {
    return outgoing.size();
  }

  @Override
  public void received(InstanceId from, Frame frame) {
    byte[] payload = frame.payload();
    switch (frame.kind()) {
      case RESPONSE_HEAD -> {
        ResponseHeadFrame head = ResponseHeadFrame.decode(payload);
        applyToIncoming(from, head.requestId(), stream -> stream.onHead(head));
      }
      case RESPONSE_CHUNK -> {
        ResponseChunkFrame chunk = ResponseChunkFrame.decode(payload);
        applyToIncoming(from, chunk.requestId(), stream -> stream.onChunk(chunk.bytes()));
      }
      case RESPONSE_END ->
          removeAndApply(
              from, RequestIdFrame.decode(payload).requestId(), IncomingResponse::onComplete);
      case RESPONSE_REFUSED -> handleRefused(from, ResponseRefusedFrame.decode(payload));
      case RESPONSE_ABORT -> {
        ResponseAbortFrame abort = ResponseAbortFrame.decode(payload);
        removeAndApply(from, abort.requestId(), stream -> stream.fail(abort.cause()));
      }
      case CREDIT -> handleCredit(from, CreditFrame.decode(payload));
      default -> {
        // Frames of other kinds are handled elsewhere in the daemon.
      }
    }
  }

  private void handleRefused(InstanceId from, ResponseRefusedFrame frame) {
    CallerResponse.Error error =
        new CallerResponse.Error(
            frame.kind(), frame.outcome(), frame.detail(), frame.retryAfterMillis());
    removeAndApply(from, frame.requestId(), stream -> stream.onRefused(error));
  }

  private void handleCredit(InstanceId from, CreditFrame credit) {
    OutgoingResponse stream = outgoing.get(new StreamKey(from, credit.requestId()));
    if (stream != null) {
      stream.addCredit(credit.bytes());
    }
  }

  private void applyToIncoming(InstanceId from, long requestId, Consumer<IncomingResponse> action) {
    IncomingResponse stream = incoming.get(new StreamKey(from, requestId));
    if (stream != null) {
      action.accept(stream);
    }
  }

  private void removeAndApply(InstanceId from, long requestId, Consumer<IncomingResponse> action) {
    IncomingResponse stream = incoming.remove(new StreamKey(from, requestId));
    if (stream != null) {
      action.accept(stream);
    }
  }

  /** Retries until the link accepts the frame, because lost credit would stall the response. */
  void sendCredit(StreamKey key, Frame credit) {
    if (!link.send(key.peer(), credit) && incoming.containsKey(key)) {
      Schedulers.parallel()
          .schedule(
              () -> sendCredit(key, credit), CREDIT_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void disconnected(InstanceId peer) {
    endMatching(key -> key.peer().equals(peer));
  }

  @Override
  public void close() {
    idleCheck.dispose();
    endMatching(key -> true);
  }

  private void endMatching(Predicate<StreamKey> filter) {
    for (StreamKey key : incoming.keySet()) {
      if (filter.test(key)) {
        removeAndApply(key.peer(), key.requestId(), stream -> stream.fail(DISCONNECTED_CAUSE));
      }
    }
    outgoing.forEach(
        (key, stream) -> {
          if (filter.test(key)) {
            stream.stop();
          }
        });
  }

  private void endIdleStreams() {
    long nowNanos = System.nanoTime();
    incoming.forEach(
        (key, stream) -> {
          if (stream.isIdle(nowNanos, idleTimeoutNanos)) {
            removeAndApply(key.peer(), key.requestId(), idleStream -> idleStream.fail(IDLE_CAUSE));
            link.send(key.peer(), new RequestIdFrame(key.requestId()).toCancel());
          }
        });
    outgoing.values().stream()
        .filter(stream -> stream.isIdle(nowNanos, idleTimeoutNanos))
        .forEach(stream -> stream.abort(IDLE_CAUSE));
  }
}
