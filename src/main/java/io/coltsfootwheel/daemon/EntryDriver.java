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
 * Holds the requests that callers have sent to this instance until they are answered, and executes
 * the effects of the entry router: forwards, refusals, delayed retries and cancellations.
 */
final class EntryDriver implements RequestHandler {
  private final InstanceId self;
  private final StampSigner stampSigner;
  private final LinkTransport link;
  private final ResponseRelay relay;
  private final Consumer<InstanceEvent> events;
  private final RequestRecorder recorder;
  private final Map<Long, PendingRequest> pendingByNumber = new ConcurrentHashMap<>();
  private final Map<String, Attempt> attemptByRequestId = new ConcurrentHashMap<>();
  private final AtomicLong nextAttempt = new AtomicLong(1);

  /** Request of a caller, and the sink that completes its response. */
  private record PendingRequest(CallerRequest request, MonoSink<CallerResponse> sink) {}

  /** One send of a request to the dispatcher of another instance. */
  private record Attempt(InstanceId dispatcher, long number, Disposable response) {}

  EntryDriver(
      InstanceId self,
      StampSigner stampSigner,
      LinkTransport link,
      ResponseRelay relay,
      Consumer<InstanceEvent> events,
      RequestRecorder recorder) {
    this.self = self;
    this.stampSigner = stampSigner;
    this.link = link;
    this.relay = relay;
    this.events = events;
    this.recorder = recorder;
  }

  @Override
  public Mono<CallerResponse> handle(CallerRequest request) {
    Optional<RequestIdentity> identity =
        request.identity().flatMap(text -> RequestIdentity.parse(text, stampSigner));
    if (request.identity().isPresent() && identity.isEmpty()) {
      return Mono.just(
          CallerResponse.error(ErrorKind.INVALID_REQUEST, "Idempotency-Key is not valid"));
    }
    return Mono.create(
        sink -> {
          pendingByNumber.put(request.requestId(), new PendingRequest(request, sink));
          post(new EntryEvent.RequestArrived(System.nanoTime(), entryRequest(request, identity)));
        });
  }

  @Override
  public void cancelled(CallerRequest request) {
    if (pendingByNumber.remove(request.requestId()) != null) {
      recorder.recordLost(request.service());
    }
    post(new EntryEvent.CallerDisconnected(System.nanoTime(), request.requestId()));
  }

  /**
   * Returns a request that waits for its response.
   *
   * @param requestNumber number of the request at this entry
   * @return the request, or empty when it has been answered or its caller has disconnected
   */
  Optional<CallerRequest> request(long requestNumber) {
    return Optional.ofNullable(pendingByNumber.get(requestNumber)).map(PendingRequest::request);
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
   * Relays the response of a target to the caller, or discards its body when the request has been
   * answered already or its caller has disconnected.
   *
   * @param requestNumber number of the request at this entry
   * @param requestId identifier of the send
   * @param response the response
   */
  void respond(long requestNumber, String requestId, CallerResponse.Relayed response) {
    Flux<ByteBuf> body = response.body().doFinally(signal -> responseEnded(requestId));
    PendingRequest pending = pendingByNumber.remove(requestNumber);
    if (pending == null) {
      discard(body);
      return;
    }
    CallerRequest request = pending.request();
    Flux<ByteBuf> recorded =
        body.doOnComplete(() -> recorder.recordAnswered(request, response.target()))
            .doOnError(error -> recorder.recordLost(request.service()));
    pending
        .sink()
        .success(
            new CallerResponse.Relayed(
                response.target(), response.status(), response.headers(), recorded));
  }

  private void forward(EntryEffect.Forward forward) {
    DispatchRequest request = forward.request();
    PendingRequest pending = pendingByNumber.get(forward.requestNumber());
    if (pending == null) {
      post(new EntryEvent.ForwardFailed(System.nanoTime(), request.requestId(), false));
      return;
    }
    long attempt = nextAttempt.getAndIncrement();
    Disposable response =
        relay
            .expect(forward.instance(), attempt)
            .subscribe(
                answer -> handleAnswer(forward.requestNumber(), request.requestId(), answer),
                error -> forwardFailed(request.requestId(), true));
    attemptByRequestId.put(request.requestId(), new Attempt(forward.instance(), attempt, response));
    boolean isSent =
        link.send(forward.instance(), forwardFrame(attempt, pending.request(), request).toFrame());
    if (!isSent) {
      response.dispose();
      relay.remove(forward.instance(), attempt);
      forwardFailed(request.requestId(), false);
    }
  }

  /**
   * Handles a request that was queued for another instance but never written to it, so that it was
   * not run there.
   *
   * @param dispatcher the other instance
   * @param number number of the attempt
   */
  void forwardNotWritten(InstanceId dispatcher, long number) {
    attemptByRequestId.forEach(
        (requestId, attempt) -> {
          if (attempt.number() == number && attempt.dispatcher().equals(dispatcher)) {
            attempt.response().dispose();
            relay.remove(dispatcher, number);
            forwardFailed(requestId, false);
          }
        });
  }

  private static ForwardFrame forwardFrame(
      long attempt, CallerRequest caller, DispatchRequest request) {
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

  private void handleAnswer(long requestNumber, String requestId, CallerResponse answer) {
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

  private void forwardFailed(String requestId, boolean isWritten) {
    attemptByRequestId.remove(requestId);
    post(new EntryEvent.ForwardFailed(System.nanoTime(), requestId, isWritten));
  }

  private void responseEnded(String requestId) {
    post(new EntryEvent.ResponseEnded(System.nanoTime(), requestId, 0));
  }

  private void refuse(EntryEffect.Refuse refusal) {
    PendingRequest pending = pendingByNumber.remove(refusal.requestNumber());
    if (pending == null) {
      return;
    }
    recorder.recordRefused(pending.request(), refusal.kind());
    pending
        .sink()
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
