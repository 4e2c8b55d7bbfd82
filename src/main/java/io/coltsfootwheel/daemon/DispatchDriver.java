package io.coltsfootwheel.daemon;

import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.DispatchRequest;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.RequestIdentity;
import io.coltsfootwheel.dispatch.StampSigner;
import io.coltsfootwheel.dispatch.TargetReply;
import io.coltsfootwheel.edge.CallerRequest;
import io.coltsfootwheel.edge.CallerResponse;
import io.coltsfootwheel.edge.GrantResult;
import io.coltsfootwheel.edge.ResponseRelay;
import io.coltsfootwheel.edge.TargetClient;
import io.coltsfootwheel.edge.TargetRequest;
import io.coltsfootwheel.edge.TargetResult;
import io.coltsfootwheel.link.ForwardFrame;
import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import reactor.core.publisher.Flux;

/**
 * Executes the effects of the dispatchers of this instance: sends requests, dispatch grants, health
 * probes and cancellations to targets, and relays each response to the entry instance of its
 * request.
 */
final class DispatchDriver {
  private final InstanceId self;
  private final StampSigner stampSigner;
  private final TargetClient targets;
  private final ResponseRelay relay;
  private final EntryDriver entry;
  private final Consumer<InstanceEvent> events;
  private final Map<String, OfferedRequest> offeredById = new ConcurrentHashMap<>();

  /**
   * Content and origin of a request, and whether its entry has received a response or a refusal.
   */
  private record OfferedRequest(Content content, Origin origin, AtomicBoolean responded) {}

  /** HTTP request that is sent to the target. */
  private record Content(
      Optional<String> identity, String method, String uri, List<Header> headers, byte[] body) {}

  /** Entry of a request, empty for this instance, and the number of the request there. */
  private record Origin(Optional<InstanceId> instance, long number) {}

  DispatchDriver(
      InstanceId self,
      StampSigner stampSigner,
      TargetClient targets,
      ResponseRelay relay,
      EntryDriver entry,
      Consumer<InstanceEvent> events) {
    this.self = self;
    this.stampSigner = stampSigner;
    this.targets = targets;
    this.relay = relay;
    this.entry = entry;
    this.events = events;
  }

  /**
   * Stores a request that the entry of this instance forwards to its own dispatcher.
   *
   * @param forward the effect of the entry router
   */
  void offerLocally(EntryEffect.Forward forward) {
    Optional<CallerRequest> request = entry.request(forward.requestNumber());
    request.ifPresent(
        caller ->
            offeredById.put(
                forward.request().requestId(),
                new OfferedRequest(
                    new Content(
                        caller.identity(),
                        caller.method(),
                        caller.uri(),
                        caller.headers(),
                        caller.body()),
                    new Origin(Optional.empty(), forward.requestNumber()),
                    new AtomicBoolean())));
  }

  /**
   * Passes a request of another entry instance to the dispatcher.
   *
   * @param from the entry
   * @param session session of its process
   * @param frame the request
   */
  void offer(InstanceId from, String session, ForwardFrame frame) {
    String requestId = requestId(from, session, frame.requestId());
    Content content =
        new Content(frame.identity(), frame.method(), frame.uri(), frame.headers(), frame.body());
    Origin origin = new Origin(Optional.of(from), frame.requestId());
    offeredById.put(requestId, new OfferedRequest(content, origin, new AtomicBoolean()));
    long nowNanos = System.nanoTime();
    DispatchRequest request =
        new DispatchRequest(
            requestId,
            ServiceName.of(frame.service()),
            TargetId.of(frame.target()),
            frame.hashSlot() < 0 ? OptionalInt.empty() : OptionalInt.of(frame.hashSlot()),
            frame.customer().map(CustomerId::of),
            frame.idempotent(),
            frame.identity().flatMap(text -> RequestIdentity.parse(text, stampSigner)),
            nowNanos + TimeUnit.MILLISECONDS.toNanos(frame.deadlineMillis()),
            Fence.of(frame.fence()),
            0);
    post(new DispatchEvent.RequestOffered(nowNanos, request));
  }

  /**
   * Cancels a request of another entry instance, whose caller has disconnected.
   *
   * @param from the entry
   * @param session session of its process
   * @param number number of the request at the entry
   */
  void cancel(InstanceId from, String session, long number) {
    String requestId = requestId(from, session, number);
    relay.cancel(from, number);
    removeCancelled(requestId);
    post(new DispatchEvent.RequestCancelled(System.nanoTime(), requestId));
  }

  /**
   * Removes a request whose caller has disconnected. A response that still arrives is read and
   * discarded.
   *
   * @param requestId identifier of the request
   */
  void removeCancelled(String requestId) {
    OfferedRequest offered = offeredById.remove(requestId);
    if (offered != null) {
      offered.responded().set(true);
    }
  }

  /**
   * Executes an effect of the dispatchers.
   *
   * @param effect the effect
   */
  void execute(DispatchEffect effect) {
    if (effect instanceof DispatchEffect.SendToTarget send) {
      sendToTarget(send);
    } else if (effect instanceof DispatchEffect.RefuseRequest refusal) {
      relayRefusal(refusal);
    } else if (effect instanceof DispatchEffect.SendGrant grant) {
      sendGrant(grant);
    } else if (effect instanceof DispatchEffect.SendProbe probe) {
      targets
          .probe(probe.target())
          .subscribe(isHealthy -> probeCompleted(probe.target(), isHealthy));
    } else if (effect instanceof DispatchEffect.SendCancel cancel) {
      targets.cancel(cancel.target(), cancel.requestId()).subscribe();
    }
  }

  private void sendToTarget(DispatchEffect.SendToTarget send) {
    OfferedRequest offered = offeredById.get(send.requestId());
    if (offered == null || System.nanoTime() - send.sendBeforeNanos() >= 0) {
      postReply(send.requestId(), new TargetReply.NotSent());
      return;
    }
    Content content = offered.content();
    TargetRequest request =
        new TargetRequest(
            send.requestId(),
            send.fence().value(),
            send.hashSlot().orElse(-1),
            send.remainingMillis(),
            content.identity(),
            content.method(),
            content.uri(),
            content.headers(),
            content.body());
    targets
        .send(send.target(), request)
        .subscribe(
            result -> handleResult(send, offered, result),
            error -> postReply(send.requestId(), new TargetReply.Broken()));
  }

  private void handleResult(
      DispatchEffect.SendToTarget send, OfferedRequest offered, TargetResult result) {
    String requestId = send.requestId();
    if (result instanceof TargetResult.Responded responded) {
      relayResponse(send, offered, responded);
    } else if (result instanceof TargetResult.NotSent) {
      postReply(requestId, new TargetReply.NotSent());
    } else if (result instanceof TargetResult.RefusedFence) {
      postReply(requestId, new TargetReply.RefusedFence());
    } else if (result instanceof TargetResult.RefusedShedding shedding) {
      postReply(requestId, new TargetReply.RefusedShedding(shedding.retryAfterMillis()));
    } else {
      postReply(requestId, new TargetReply.Broken());
    }
  }

  private void relayResponse(
      DispatchEffect.SendToTarget send, OfferedRequest offered, TargetResult.Responded responded) {
    String requestId = send.requestId();
    Flux<ByteBuf> body =
        responded
            .body()
            .doOnComplete(() -> postReply(requestId, new TargetReply.Completed(responded.status())))
            .doOnError(error -> postReply(requestId, new TargetReply.Broken()))
            .doOnCancel(() -> postReply(requestId, new TargetReply.Completed(responded.status())));
    CallerResponse.Relayed response =
        new CallerResponse.Relayed(send.target(), responded.status(), responded.headers(), body);
    boolean isFirstResponse = offered.responded().compareAndSet(false, true);
    offeredById.remove(requestId);
    if (!isFirstResponse) {
      body.subscribe(ByteBuf::release, error -> {});
    } else if (offered.origin().instance().isEmpty()) {
      entry.respond(offered.origin().number(), requestId, response);
    } else {
      relay
          .send(offered.origin().instance().get(), offered.origin().number(), response)
          .subscribe(ignored -> {}, error -> {});
    }
  }

  private void relayRefusal(DispatchEffect.RefuseRequest refusal) {
    OfferedRequest offered = offeredById.remove(refusal.requestId());
    if (offered == null || !offered.responded().compareAndSet(false, true)) {
      return;
    }
    offered
        .origin()
        .instance()
        .ifPresent(
            to ->
                relay
                    .send(to, offered.origin().number(), error(refusal))
                    .subscribe(ignored -> {}, error -> {}));
  }

  private static CallerResponse.Error error(DispatchEffect.RefuseRequest refusal) {
    return new CallerResponse.Error(
        refusal.kind(), refusal.kind().outcome(), refusal.detail(), refusal.retryAfterMillis());
  }

  private void sendGrant(DispatchEffect.SendGrant grant) {
    long nowNanos = System.nanoTime();
    if (nowNanos - grant.sendBeforeNanos() >= 0) {
      post(new DispatchEvent.GrantFailed(nowNanos, grant.target()));
      return;
    }
    targets
        .grant(grant.target(), self, grant.fence().value(), grant.validUntilMillis())
        .subscribe(result -> grantCompleted(grant.target(), grant.fence(), result));
  }

  private void grantCompleted(TargetId target, Fence sentFence, GrantResult result) {
    long nowNanos = System.nanoTime();
    if (result instanceof GrantResult.Granted granted) {
      post(
          new DispatchEvent.GrantAnswered(
              nowNanos,
              target,
              Fence.of(granted.fence()),
              granted.running(),
              granted.runningOlder(),
              granted.clockMillis()));
    } else if (result instanceof GrantResult.Outdated) {
      post(new DispatchEvent.GrantRejected(nowNanos, target, Fence.of(sentFence.value() + 1)));
    } else {
      post(new DispatchEvent.GrantFailed(nowNanos, target));
    }
  }

  private void probeCompleted(TargetId target, boolean isHealthy) {
    long nowNanos = System.nanoTime();
    post(
        isHealthy
            ? new DispatchEvent.ProbeAnswered(nowNanos, target)
            : new DispatchEvent.ProbeFailed(nowNanos, target));
  }

  /**
   * Posts the outcome of a send. Only a completed request is removed here: after any other reply
   * the dispatcher may send it again, or refuses it, and the refusal removes it and is relayed to
   * its entry.
   */
  private void postReply(String requestId, TargetReply reply) {
    if (reply instanceof TargetReply.Completed) {
      offeredById.remove(requestId);
    }
    post(new DispatchEvent.TargetReplied(System.nanoTime(), requestId, reply));
  }

  private static String requestId(InstanceId from, String session, long number) {
    return from + "/" + session + "/" + number;
  }

  private void post(DispatchEvent event) {
    events.accept(new InstanceEvent.Dispatch(event));
  }
}
