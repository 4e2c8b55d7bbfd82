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
 * Sends requests, grants, probes and cancellations to targets for the dispatchers of this instance,
 * and returns the responses to the entry that each request came from.
 */
final class DispatchDriver {
  private final InstanceId self;
  private final StampSigner stamps;
  private final TargetClient targets;
  private final ResponseRelay relay;
  private final EntryDriver entry;
  private final Consumer<InstanceEvent> events;
  private final Map<String, Offered> offeredById = new ConcurrentHashMap<>();

  /** Content of a request, and the entry that waits for its response. */
  private record Offered(Content content, Origin origin, AtomicBoolean responded) {}

  /** What is sent to the target. */
  private record Content(
      Optional<String> identity, String method, String uri, List<Header> headers, byte[] body) {}

  /** Entry of a request; the instance is empty when it is this one. */
  private record Origin(Optional<InstanceId> instance, long number) {}

  DispatchDriver(
      InstanceId self,
      StampSigner stamps,
      TargetClient targets,
      ResponseRelay relay,
      EntryDriver entry,
      Consumer<InstanceEvent> events) {
    this.self = self;
    this.stamps = stamps;
    this.targets = targets;
    this.relay = relay;
    this.entry = entry;
    this.events = events;
  }

  /**
   * Takes a request that the entry of this instance gives to its own dispatcher.
   *
   * @param forward the forward
   */
  void offerLocally(EntryEffect.Forward forward) {
    Optional<CallerRequest> request = entry.request(forward.requestNumber());
    request.ifPresent(
        caller ->
            offeredById.put(
                forward.request().requestId(),
                new Offered(
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
   * Takes a request from another entry.
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
    offeredById.put(requestId, new Offered(content, origin, new AtomicBoolean()));
    long nowNanos = System.nanoTime();
    DispatchRequest request =
        new DispatchRequest(
            requestId,
            ServiceName.of(frame.service()),
            TargetId.of(frame.target()),
            frame.hashSlot() < 0 ? OptionalInt.empty() : OptionalInt.of(frame.hashSlot()),
            frame.customer().map(CustomerId::of),
            frame.idempotent(),
            frame.identity().flatMap(text -> RequestIdentity.parse(text, stamps)),
            nowNanos + TimeUnit.MILLISECONDS.toNanos(frame.deadlineMillis()),
            Fence.of(frame.fence()),
            0);
    post(new DispatchEvent.RequestOffered(nowNanos, request));
  }

  /**
   * Passes on that the caller of a request has left.
   *
   * @param from the entry
   * @param session session of its process
   * @param number number of the request at the entry
   */
  void cancel(InstanceId from, String session, long number) {
    String requestId = requestId(from, session, number);
    relay.cancel(from, number);
    forget(requestId);
    post(new DispatchEvent.RequestCancelled(System.nanoTime(), requestId));
  }

  /**
   * Drops the content of a request whose caller has left; a response that still comes is read and
   * discarded.
   *
   * @param requestId the request
   */
  void forget(String requestId) {
    Offered offered = offeredById.remove(requestId);
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
      send(send);
    } else if (effect instanceof DispatchEffect.RefuseRequest refusal) {
      refuse(refusal);
    } else if (effect instanceof DispatchEffect.SendGrant grant) {
      grant(grant);
    } else if (effect instanceof DispatchEffect.SendProbe probe) {
      targets.probe(probe.target()).subscribe(healthy -> probed(probe.target(), healthy));
    } else if (effect instanceof DispatchEffect.SendCancel cancel) {
      targets.cancel(cancel.target(), cancel.requestId()).subscribe();
    }
  }

  private void send(DispatchEffect.SendToTarget send) {
    Offered offered = offeredById.get(send.requestId());
    if (offered == null || System.nanoTime() - send.sendBeforeNanos() >= 0) {
      reply(send.requestId(), new TargetReply.NotSent());
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
            result -> replied(send, offered, result),
            error -> reply(send.requestId(), new TargetReply.Broken()));
  }

  private void replied(DispatchEffect.SendToTarget send, Offered offered, TargetResult result) {
    String requestId = send.requestId();
    if (result instanceof TargetResult.Responded responded) {
      respond(send, offered, responded);
    } else if (result instanceof TargetResult.NotSent) {
      reply(requestId, new TargetReply.NotSent());
    } else if (result instanceof TargetResult.RefusedFence) {
      reply(requestId, new TargetReply.RefusedFence());
    } else if (result instanceof TargetResult.RefusedShedding shedding) {
      reply(requestId, new TargetReply.RefusedShedding(shedding.retryAfterMillis()));
    } else {
      reply(requestId, new TargetReply.Broken());
    }
  }

  private void respond(
      DispatchEffect.SendToTarget send, Offered offered, TargetResult.Responded responded) {
    String requestId = send.requestId();
    Flux<ByteBuf> body =
        responded
            .body()
            .doOnComplete(() -> reply(requestId, new TargetReply.Completed(responded.status())))
            .doOnError(error -> reply(requestId, new TargetReply.Broken()))
            .doOnCancel(() -> reply(requestId, new TargetReply.Completed(responded.status())));
    CallerResponse.Relayed response =
        new CallerResponse.Relayed(send.target(), responded.status(), responded.headers(), body);
    boolean first = offered.responded().compareAndSet(false, true);
    offeredById.remove(requestId);
    if (!first) {
      body.subscribe(ByteBuf::release, error -> {});
    } else if (offered.origin().instance().isEmpty()) {
      entry.respond(offered.origin().number(), requestId, response);
    } else {
      relay
          .send(offered.origin().instance().get(), offered.origin().number(), response)
          .subscribe(done -> {}, error -> {});
    }
  }

  private void refuse(DispatchEffect.RefuseRequest refusal) {
    Offered offered = offeredById.remove(refusal.requestId());
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
                    .subscribe(done -> {}, error -> {}));
  }

  private static CallerResponse.Error error(DispatchEffect.RefuseRequest refusal) {
    return new CallerResponse.Error(
        refusal.kind(), refusal.kind().outcome(), refusal.detail(), refusal.retryAfterMillis());
  }

  private void grant(DispatchEffect.SendGrant grant) {
    long nowNanos = System.nanoTime();
    if (nowNanos - grant.sendBeforeNanos() >= 0) {
      post(new DispatchEvent.GrantFailed(nowNanos, grant.target()));
      return;
    }
    targets
        .grant(grant.target(), self, grant.fence().value(), grant.validUntilMillis())
        .subscribe(result -> granted(grant.target(), grant.fence(), result));
  }

  private void granted(TargetId target, Fence sent, GrantResult result) {
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
      post(new DispatchEvent.GrantRejected(nowNanos, target, Fence.of(sent.value() + 1)));
    } else {
      post(new DispatchEvent.GrantFailed(nowNanos, target));
    }
  }

  private void probed(TargetId target, boolean healthy) {
    long nowNanos = System.nanoTime();
    post(
        healthy
            ? new DispatchEvent.ProbeAnswered(nowNanos, target)
            : new DispatchEvent.ProbeFailed(nowNanos, target));
  }

  /** Only a completed request needs no refusal, which removes it and tells its entry. */
  private void reply(String requestId, TargetReply reply) {
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
