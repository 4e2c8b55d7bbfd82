package io.coltsfootwheel.daemon;

import io.coltsfootwheel.dispatch.DispatchRequest;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.dispatch.EntryRequest;
import io.coltsfootwheel.dispatch.RequestIdentity;
import io.coltsfootwheel.dispatch.StampSigner;
import io.coltsfootwheel.edge.CallerRequest;
import io.coltsfootwheel.edge.CallerResponse;
import io.coltsfootwheel.edge.RequestHandler;
import io.coltsfootwheel.edge.ResponseRelay;
import io.coltsfootwheel.link.ForwardFrame;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.link.RequestIdFrame;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;

/**
 * Holds the requests that callers sent to this instance, and moves them to the dispatchers that the
 * entry router names.
 */
final class EntryDriver implements RequestHandler {
  private final InstanceId self;
  private final StampSigner stamps;
  private final LinkTransport link;
  private final ResponseRelay relay;
  private final Consumer<InstanceEvent> events;
  private final RequestRecorder recorder;
  private final Map<Long, Held> heldByNumber = new ConcurrentHashMap<>();
  private final Map<String, Attempt> attemptByRequestId = new ConcurrentHashMap<>();
  private final AtomicLong nextAttempt = new AtomicLong(1);

  /** Request of a caller and where its response goes. */
  private record Held(CallerRequest request, MonoSink<CallerResponse> sink) {}

  /** One send of a request to a dispatcher on another instance. */
  private record Attempt(InstanceId dispatcher, long number, Disposable response) {}

  EntryDriver(
      InstanceId self,
      StampSigner stamps,
      LinkTransport link,
      ResponseRelay relay,
      Consumer<InstanceEvent> events,
      RequestRecorder recorder) {
    this.self = self;
    this.stamps = stamps;
    this.link = link;
    this.relay = relay;
    this.events = events;
    this.recorder = recorder;
  }

  @Override
  public Mono<CallerResponse> handle(CallerRequest request) {
    Optional<RequestIdentity> identity =
        request.identity().flatMap(text -> RequestIdentity.parse(text, stamps));
    if (request.identity().isPresent() && identity.isEmpty()) {
      return Mono.just(
          CallerResponse.error(ErrorKind.INVALID_REQUEST, "Idempotency-Key is not valid"));
    }
    return Mono.create(
        sink -> {
          heldByNumber.put(request.requestId(), new Held(request, sink));
          post(new EntryEvent.RequestArrived(System.nanoTime(), entryRequest(request, identity)));
        });
  }

  @Override
  public void cancelled(CallerRequest request) {
    if (heldByNumber.remove(request.requestId()) != null) {
      recorder.lost(request.service());
    }
    post(new EntryEvent.CallerDisconnected(System.nanoTime(), request.requestId()));
  }

  /**
   * Returns a request that is held for a caller.
   *
   * @param requestNumber number of the request at this entry
   * @return the request, or empty when it has been answered or the caller has left
   */
  Optional<CallerRequest> request(long requestNumber) {
    return Optional.ofNullable(heldByNumber.get(requestNumber)).map(Held::request);
  }

  /**
   * Executes an effect of the entry router.
   *
   * @param effect the effect
   */
  void execute(EntryEffect effect) {
    if (effect instanceof EntryEffect.Forward forward) {
      if (!forward.instance().equals(self)) {
        forward(forward);
      }
    } else if (effect instanceof EntryEffect.Refuse refusal) {
      refuse(refusal);
    } else if (effect instanceof EntryEffect.Delay delay) {
      Schedulers.parallel()
          .schedule(
              () -> post(new EntryEvent.RetryDue(System.nanoTime(), delay.requestNumber())),
              delay.delayMillis(),
              TimeUnit.MILLISECONDS);
    } else if (effect instanceof EntryEffect.CancelForward cancel) {
      cancelForward(cancel);
    }
  }

  /**
   * Passes a target's response to the caller.
   *
   * @param requestNumber number of the request at this entry
   * @param requestId identity of the send
   * @param response the response
   */
  void respond(long requestNumber, String requestId, CallerResponse.Relayed response) {
    Flux<ByteBuf> body = response.body().doFinally(signal -> ended(requestId));
    Held held = heldByNumber.remove(requestNumber);
    if (held == null) {
      discard(body);
      return;
    }
    CallerRequest request = held.request();
    Flux<ByteBuf> recorded =
        body.doOnComplete(() -> recorder.answered(request, response.target()))
            .doOnError(error -> recorder.lost(request.service()));
    held.sink()
        .success(
            new CallerResponse.Relayed(
                response.target(), response.status(), response.headers(), recorded));
  }

  private void forward(EntryEffect.Forward forward) {
    DispatchRequest request = forward.request();
    Held held = heldByNumber.get(forward.requestNumber());
    if (held == null) {
      post(new EntryEvent.ForwardFailed(System.nanoTime(), request.requestId(), false));
      return;
    }
    long attempt = nextAttempt.getAndIncrement();
    Disposable response =
        relay
            .expect(forward.instance(), attempt)
            .subscribe(
                answer -> answered(forward.requestNumber(), request.requestId(), answer),
                error -> failed(request.requestId(), true));
    attemptByRequestId.put(request.requestId(), new Attempt(forward.instance(), attempt, response));
    boolean sent = link.send(forward.instance(), frame(attempt, held.request(), request).toFrame());
    if (!sent) {
      response.dispose();
      relay.remove(forward.instance(), attempt);
      failed(request.requestId(), false);
    }
  }

  private static ForwardFrame frame(long attempt, CallerRequest caller, DispatchRequest request) {
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - System.nanoTime());
    return new ForwardFrame(
        attempt,
        request.service().value(),
        request.target().value(),
        request.fence().value(),
        request.hashSlot().orElse(-1),
        request.customer().map(CustomerId::value),
        request.identity().map(RequestIdentity::value),
        request.idempotent(),
        Math.max(1, remainingMillis),
        caller.method(),
        caller.uri(),
        caller.headers(),
        caller.body());
  }

  private void answered(long requestNumber, String requestId, CallerResponse answer) {
    attemptByRequestId.remove(requestId);
    if (answer instanceof CallerResponse.Relayed relayed) {
      respond(requestNumber, requestId, relayed);
    } else if (answer instanceof CallerResponse.Error error) {
      post(
          new EntryEvent.AttemptRefused(
              System.nanoTime(),
              requestId,
              error.kind(),
              error.retryAfterMillis(),
              error.detail()));
    }
  }

  private void failed(String requestId, boolean written) {
    attemptByRequestId.remove(requestId);
    post(new EntryEvent.ForwardFailed(System.nanoTime(), requestId, written));
  }

  private void ended(String requestId) {
    post(new EntryEvent.ResponseEnded(System.nanoTime(), requestId, 0));
  }

  private void refuse(EntryEffect.Refuse refusal) {
    Held held = heldByNumber.remove(refusal.requestNumber());
    if (held == null) {
      return;
    }
    recorder.refused(held.request(), refusal.kind());
    held.sink()
        .success(
            new CallerResponse.Error(
                refusal.kind(),
                refusal.kind().outcome(),
                refusal.detail(),
                refusal.retryAfterMillis()));
  }

  private void cancelForward(EntryEffect.CancelForward cancel) {
    Attempt attempt = attemptByRequestId.remove(cancel.requestId());
    if (attempt != null) {
      link.send(attempt.dispatcher(), new RequestIdFrame(attempt.number()).toCancel());
      attempt.response().dispose();
      relay.remove(attempt.dispatcher(), attempt.number());
    }
  }

  private static EntryRequest entryRequest(
      CallerRequest request, Optional<RequestIdentity> identity) {
    long deadlineNanos =
        request.receivedNanos() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
    return new EntryRequest(
        request.requestId(),
        request.service(),
        request.key().map(key -> key.getBytes(StandardCharsets.UTF_8)),
        request.customer(),
        request.idempotent(),
        identity,
        deadlineNanos);
  }

  private static void discard(Flux<ByteBuf> body) {
    body.subscribe(ByteBuf::release, error -> {});
  }

  private void post(EntryEvent event) {
    events.accept(new InstanceEvent.Entry(event));
  }
}
