package io.coltsfootwheel.daemon;

import io.coltsfootwheel.bench.FenceChecker;
import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.DispatchRequest;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.dispatch.EntryRequest;
import io.coltsfootwheel.dispatch.RequestIdentity;
import io.coltsfootwheel.dispatch.TargetReply;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.simulation.SimulationClock;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongFunction;

/**
 * Executes the entry and dispatch effects of one process as the drivers of a daemon do over HTTP
 * and data links.
 */
final class RequestDrivers {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long SLOT_GRACE_MILLIS = 1_000;

  private final SimulatedInstance self;
  private final SimulatedSystem system;
  private final int incarnation;
  private final Map<Long, Callers.Attempt> pending = new HashMap<>();
  private final Map<String, DispatchRequest> offeredById = new HashMap<>();
  private final Map<String, InstanceId> entryByRequestId = new HashMap<>();
  private final Set<String> refusedIds = new HashSet<>();
  private final Map<String, Map<String, Long>> slotEndsByGrant = new HashMap<>();
  private long nextNumber = 1;

  RequestDrivers(SimulatedInstance self, SimulatedSystem system) {
    this.self = self;
    this.system = system;
    this.incarnation = self.incarnation();
  }

  /** Accepts a request of a caller. */
  void accept(Callers.Attempt attempt, long deadlineMillis) {
    long number = nextNumber++;
    attempt.sentAs(self.id() + "/" + self.session() + "/" + number);
    pending.put(number, attempt);
    Callers.IdentifiedRequest identified = attempt.identified();
    postEntry(
        now ->
            new EntryEvent.RequestArrived(
                now,
                new EntryRequest(
                    number,
                    SimulatedSystem.SERVICE.name(),
                    Optional.of(identified.key().getBytes(StandardCharsets.UTF_8)),
                    Optional.of(CustomerId.of("c")),
                    false,
                    Optional.of(
                        new RequestIdentity(
                            identified.value(), OptionalLong.of(identified.stamp()))),
                    now + deadlineMillis * MILLI)));
  }

  private void postEntry(LongFunction<EntryEvent> event) {
    self.handleInIncarnation(incarnation, now -> new InstanceEvent.Entry(event.apply(now)));
  }

  private void postDispatch(LongFunction<DispatchEvent> event) {
    self.handleInIncarnation(incarnation, now -> new InstanceEvent.Dispatch(event.apply(now)));
  }

  void execute(EntryEffect effect) {
    if (effect instanceof EntryEffect.Forward forward) {
      forward(forward);
    } else if (effect instanceof EntryEffect.Refuse refusal) {
      Optional.ofNullable(pending.remove(refusal.requestNumber()))
          .ifPresent(attempt -> attempt.refused(refusal.kind()));
    } else if (effect instanceof EntryEffect.Delay delay) {
      system.after(
          delay.delayMillis() * MILLI,
          () -> postEntry(now -> new EntryEvent.RetryDue(now, delay.requestNumber())));
    } else if (effect instanceof EntryEffect.CancelForward cancel) {
      if (!cancel.instance().equals(self.id())) {
        RequestDrivers receiver = system.instance(cancel.instance()).drivers();
        Runnable delivery =
            () ->
                receiver.postDispatch(
                    now -> new DispatchEvent.RequestCancelled(now, cancel.requestId()));
        system.links().sendData(self.id(), cancel.instance(), delivery, () -> {});
      }
    }
  }

  private void forward(EntryEffect.Forward forward) {
    DispatchRequest request = forward.request();
    if (forward.instance().equals(self.id())) {
      offeredById.put(request.requestId(), request);
      return;
    }
    boolean isUnconnected = !system.instance(forward.instance()).isRunning();
    if (isUnconnected) {
      system.after(MILLI, () -> failed(request.requestId(), false));
      return;
    }
    RequestDrivers receiver = system.instance(forward.instance()).drivers();
    long remainingNanos = request.deadlineNanos() - self.localNow();
    system
        .links()
        .sendData(
            self.id(),
            forward.instance(),
            () -> receiver.offer(self.id(), request, remainingNanos),
            () -> failed(request.requestId(), true));
  }

  private void failed(String requestId, boolean written) {
    postEntry(now -> new EntryEvent.ForwardFailed(now, requestId, written));
  }

  private void offer(InstanceId from, DispatchRequest request, long remainingNanos) {
    offeredById.put(request.requestId(), request);
    entryByRequestId.put(request.requestId(), from);
    postDispatch(
        now ->
            new DispatchEvent.RequestOffered(
                now,
                new DispatchRequest(
                    request.requestId(),
                    request.service(),
                    request.target(),
                    request.hashSlot(),
                    request.customer(),
                    request.idempotent(),
                    request.identity(),
                    now + remainingNanos,
                    request.fence(),
                    0)));
  }

  void execute(DispatchEffect effect) {
    if (effect instanceof DispatchEffect.SendToTarget send) {
      send(send);
    } else if (effect instanceof DispatchEffect.RefuseRequest refusal) {
      refuse(refusal);
    } else if (effect instanceof DispatchEffect.SendGrant grant) {
      grant(grant);
    } else if (effect instanceof DispatchEffect.SendProbe probe) {
      probe(probe);
    }
  }

  /**
   * Returns the length of a pause between the deadline check of the driver and its write. Only an
   * injected fault makes it other than 0.
   */
  private long writeDelayNanos() {
    boolean pauses = system.isFaulty() && system.random().nextDouble() < 0.01;
    return pauses ? system.random().nextLong(900 * MILLI) : 0;
  }

  private void send(DispatchEffect.SendToTarget send) {
    SimulatedTarget target = system.target(send.target());
    DispatchRequest request = offeredById.get(send.requestId());
    checkSlotUse(target, send);
    if (request == null || self.localNow() - send.sendBeforeNanos() >= 0) {
      system.after(1, () -> receiveReply(send, new TargetReply.NotSent()));
      return;
    }
    long ownershipFence =
        self.state()
            .ownership(SimulatedSystem.SERVICE.name(), send.hashSlot().getAsInt())
            .map(o -> o.fence().value())
            .orElse(0L);
    TargetSend targetSend =
        new TargetSend(
            send.requestId(),
            request.identity().orElseThrow().value(),
            send.hashSlot().getAsInt(),
            send.fence().value(),
            ownershipFence);
    system.checker().event(self.id() + " sends " + targetSend + " to " + target.name());
    Consumer<TargetReply> reply = result -> sendReply(target, send, result);
    system.after(writeDelayNanos(), () -> write(target, send, targetSend, reply));
  }

  private void write(
      SimulatedTarget target,
      DispatchEffect.SendToTarget send,
      TargetSend targetSend,
      Consumer<TargetReply> reply) {
    if (system.isFaulty() && system.random().nextDouble() < 0.02) {
      receiveReply(send, new TargetReply.NotSent());
      return;
    }
    if (system.isFaulty() && system.random().nextDouble() < 0.03) {
      // The connection breaks while the request is on its way.
      system.after(MILLI, () -> receiveReply(send, new TargetReply.Broken()));
      system
          .links()
          .sendData(
              self.id(), target.linkEnd(), () -> target.request(targetSend, r -> {}), () -> {});
      return;
    }
    system
        .links()
        .sendData(
            self.id(),
            target.linkEnd(),
            () -> target.request(targetSend, reply),
            () -> receiveReply(send, new TargetReply.Broken()));
  }

  private void sendReply(
      SimulatedTarget target, DispatchEffect.SendToTarget send, TargetReply reply) {
    system
        .links()
        .sendData(
            target.linkEnd(),
            self.id(),
            () -> receiveReply(send, reply),
            () -> receiveReply(send, new TargetReply.Broken()));
  }

  private void receiveReply(DispatchEffect.SendToTarget send, TargetReply reply) {
    String requestId = send.requestId();
    system.checker().event(self.id() + " reply of " + requestId + " " + reply);
    if (incarnation != self.incarnation()) {
      return;
    }
    if (reply instanceof TargetReply.Completed && !refusedIds.contains(requestId)) {
      respond(requestId);
    }
    self.handleInIncarnation(
        incarnation,
        now -> {
          slotEndsByGrant
              .getOrDefault(send.target() + "/" + send.fence(), new HashMap<>())
              .remove(requestId);
          return new InstanceEvent.Dispatch(new DispatchEvent.TargetReplied(now, requestId, reply));
        });
  }

  /**
   * Checks that a grant uses no more concurrency slots than its target has. A slot is in use until
   * the reply, but at most until 1 s after the deadline.
   */
  private void checkSlotUse(SimulatedTarget target, DispatchEffect.SendToTarget send) {
    Map<String, Long> slotEnds =
        slotEndsByGrant.computeIfAbsent(send.target() + "/" + send.fence(), k -> new HashMap<>());
    slotEnds.values().removeIf(endNanos -> self.localNow() - endNanos >= 0);
    slotEnds.put(
        send.requestId(), self.localNow() + (send.remainingMillis() + SLOT_GRACE_MILLIS) * MILLI);
    if (slotEnds.size() > target.spec().slots()) {
      system
          .checker()
          .recordViolation(self.id() + " uses " + slotEnds.size() + " slots of " + target.name());
    }
  }

  private void respond(String requestId) {
    InstanceId origin = entryByRequestId.get(requestId);
    if (origin == null) {
      self.handleInIncarnation(incarnation, now -> receiveResponse(now, requestId));
    } else {
      RequestDrivers receiver = system.instance(origin).drivers();
      system
          .links()
          .sendData(
              self.id(),
              origin,
              () ->
                  receiver.self.handleInIncarnation(
                      receiver.incarnation, now -> receiver.receiveResponse(now, requestId)),
              () -> receiver.failed(requestId, true));
    }
  }

  /** Completes the attempt when the response reaches the entry. */
  private InstanceEvent receiveResponse(long now, String requestId) {
    String attempt = requestId.substring(0, requestId.lastIndexOf('/'));
    long number = Long.parseLong(attempt.substring(attempt.lastIndexOf('/') + 1));
    String own = self.id() + "/" + self.session() + "/";
    if (attempt.startsWith(own)) {
      Optional.ofNullable(pending.remove(number)).ifPresent(Callers.Attempt::completed);
    }
    return new InstanceEvent.Entry(new EntryEvent.ResponseEnded(now, requestId, 0));
  }

  private void refuse(DispatchEffect.RefuseRequest refusal) {
    String requestId = refusal.requestId();
    if (refusal.kind().outcome() != Outcome.NOT_RUN) {
      refusedIds.add(requestId);
    }
    InstanceId origin = entryByRequestId.get(requestId);
    if (origin != null) {
      RequestDrivers receiver = system.instance(origin).drivers();
      Runnable delivery =
          () ->
              receiver.postEntry(
                  now ->
                      new EntryEvent.AttemptRefused(
                          now,
                          requestId,
                          refusal.kind(),
                          refusal.retryAfterMillis(),
                          refusal.detail()));
      system.links().sendData(self.id(), origin, delivery, () -> receiver.failed(requestId, true));
    }
  }

  private void grant(DispatchEffect.SendGrant grant) {
    SimulatedTarget target = system.target(grant.target());
    Runnable failed = () -> postDispatch(now -> new DispatchEvent.GrantFailed(now, grant.target()));
    if (self.localNow() - grant.sendBeforeNanos() >= 0) {
      system.after(1, failed);
      return;
    }
    Runnable delivery =
        () ->
            target.grant(
                grant.fence().value(),
                grant.validUntilMillis(),
                answer ->
                    system
                        .links()
                        .sendData(
                            target.linkEnd(), self.id(), () -> granted(grant, answer), failed),
                failed);
    system.after(
        writeDelayNanos(),
        () -> system.links().sendData(self.id(), target.linkEnd(), delivery, failed));
  }

  private void granted(
      DispatchEffect.SendGrant grant, Optional<FenceChecker.GrantResponse> answer) {
    postDispatch(
        now ->
            answer
                .<DispatchEvent>map(
                    a ->
                        new DispatchEvent.GrantAnswered(
                            now,
                            grant.target(),
                            Fence.of(a.fence()),
                            a.running(),
                            a.runningOlder(),
                            a.clockMillis()))
                .orElse(
                    new DispatchEvent.GrantRejected(
                        now, grant.target(), Fence.of(grant.fence().value() + 1))));
  }

  private void probe(DispatchEffect.SendProbe probe) {
    SimulatedTarget target = system.target(probe.target());
    Runnable failed = () -> postDispatch(now -> new DispatchEvent.ProbeFailed(now, probe.target()));
    Runnable healthy =
        () -> postDispatch(now -> new DispatchEvent.ProbeAnswered(now, probe.target()));
    Runnable answered = () -> system.links().sendData(target.linkEnd(), self.id(), healthy, failed);
    Runnable delivery = () -> target.probe(answered, failed);
    system.links().sendData(self.id(), target.linkEnd(), delivery, failed);
  }
}
