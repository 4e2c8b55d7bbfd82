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

/** Does for one process what the entry and dispatch drivers do over HTTP and data links. */
final class RequestDrivers {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long SLOT_GRACE_MILLIS = 1_000;

  private final SimulatedInstance self;
  private final World world;
  private final int run;
  private final Map<Long, Callers.Attempt> held = new HashMap<>();
  private final Map<String, DispatchRequest> offered = new HashMap<>();
  private final Map<String, InstanceId> origins = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private final Map<String, Map<String, Long>> inFlight = new HashMap<>();
  private long nextNumber = 1;

  RequestDrivers(SimulatedInstance self, World world) {
    this.self = self;
    this.world = world;
    this.run = self.run();
  }

  /** Takes a caller's request. */
  void arrive(Callers.Attempt attempt, long deadlineMillis) {
    long number = nextNumber++;
    attempt.sentAs(self.id() + "/" + self.session() + "/" + number);
    held.put(number, attempt);
    Callers.Known known = attempt.known();
    entry(
        now ->
            new EntryEvent.RequestArrived(
                now,
                new EntryRequest(
                    number,
                    World.SERVICE.name(),
                    Optional.of(known.key().getBytes(StandardCharsets.UTF_8)),
                    Optional.of(CustomerId.of("c")),
                    false,
                    Optional.of(new RequestIdentity(known.value(), OptionalLong.of(known.stamp()))),
                    now + deadlineMillis * MILLI)));
  }

  private void entry(LongFunction<EntryEvent> event) {
    self.handleIn(run, now -> new InstanceEvent.Entry(event.apply(now)));
  }

  private void dispatch(LongFunction<DispatchEvent> event) {
    self.handleIn(run, now -> new InstanceEvent.Dispatch(event.apply(now)));
  }

  void execute(EntryEffect effect) {
    if (effect instanceof EntryEffect.Forward forward) {
      forward(forward);
    } else if (effect instanceof EntryEffect.Refuse refusal) {
      Optional.ofNullable(held.remove(refusal.requestNumber()))
          .ifPresent(a -> a.refused(refusal.kind()));
    } else if (effect instanceof EntryEffect.Delay delay) {
      world.after(
          delay.delayMillis() * MILLI,
          () -> entry(now -> new EntryEvent.RetryDue(now, delay.requestNumber())));
    } else if (effect instanceof EntryEffect.CancelForward cancel) {
      if (!cancel.instance().equals(self.id())) {
        RequestDrivers to = world.instance(cancel.instance()).drivers();
        Runnable arrives =
            () -> to.dispatch(now -> new DispatchEvent.RequestCancelled(now, cancel.requestId()));
        world.links().data(self.id(), cancel.instance(), arrives, () -> {});
      }
    }
  }

  private void forward(EntryEffect.Forward forward) {
    DispatchRequest request = forward.request();
    if (forward.instance().equals(self.id())) {
      offered.put(request.requestId(), request);
      return;
    }
    boolean unconnected = !world.instance(forward.instance()).isRunning();
    if (unconnected) {
      world.after(MILLI, () -> failed(request.requestId(), false));
      return;
    }
    RequestDrivers to = world.instance(forward.instance()).drivers();
    long remainingNanos = request.deadlineNanos() - self.localNow();
    world
        .links()
        .data(
            self.id(),
            forward.instance(),
            () -> to.offer(self.id(), request, remainingNanos),
            () -> failed(request.requestId(), true));
  }

  private void failed(String requestId, boolean written) {
    entry(now -> new EntryEvent.ForwardFailed(now, requestId, written));
  }

  private void offer(InstanceId from, DispatchRequest request, long remainingNanos) {
    offered.put(request.requestId(), request);
    origins.put(request.requestId(), from);
    dispatch(
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

  /** A pause between the driver's check and its write. */
  private long writeDelayNanos() {
    boolean pauses = world.isFaulty() && world.random().nextDouble() < 0.01;
    return pauses ? world.random().nextLong(900 * MILLI) : 0;
  }

  private void send(DispatchEffect.SendToTarget send) {
    SimulatedTarget target = world.target(send.target());
    DispatchRequest request = offered.get(send.requestId());
    countSlot(target, send);
    if (request == null || self.localNow() - send.sendBeforeNanos() >= 0) {
      world.after(1, () -> replied(send, new TargetReply.NotSent()));
      return;
    }
    long ownership =
        self.state()
            .ownership(World.SERVICE.name(), send.hashSlot().getAsInt())
            .map(o -> o.fence().value())
            .orElse(0L);
    TargetSend sent =
        new TargetSend(
            send.requestId(),
            request.identity().orElseThrow().value(),
            send.hashSlot().getAsInt(),
            send.fence().value(),
            ownership);
    world.checker().event(self.id() + " sends " + sent + " to " + target.name());
    Consumer<TargetReply> reply = result -> returned(target, send, result);
    world.after(writeDelayNanos(), () -> write(target, send, sent, reply));
  }

  private void write(
      SimulatedTarget target,
      DispatchEffect.SendToTarget send,
      TargetSend sent,
      Consumer<TargetReply> reply) {
    if (world.isFaulty() && world.random().nextDouble() < 0.02) {
      replied(send, new TargetReply.NotSent());
      return;
    }
    if (world.isFaulty() && world.random().nextDouble() < 0.03) {
      // The connection breaks while the request is on its way.
      world.after(MILLI, () -> replied(send, new TargetReply.Broken()));
      world.links().data(self.id(), target.end(), () -> target.request(sent, r -> {}), () -> {});
      return;
    }
    world
        .links()
        .data(
            self.id(),
            target.end(),
            () -> target.request(sent, reply),
            () -> replied(send, new TargetReply.Broken()));
  }

  private void returned(
      SimulatedTarget target, DispatchEffect.SendToTarget send, TargetReply reply) {
    world
        .links()
        .data(
            target.end(),
            self.id(),
            () -> replied(send, reply),
            () -> replied(send, new TargetReply.Broken()));
  }

  private void replied(DispatchEffect.SendToTarget send, TargetReply reply) {
    String requestId = send.requestId();
    world.checker().event(self.id() + " reply of " + requestId + " " + reply);
    if (run != self.run()) {
      return;
    }
    if (reply instanceof TargetReply.Completed && !refused.contains(requestId)) {
      respond(requestId);
    }
    self.handleIn(
        run,
        now -> {
          inFlight
              .getOrDefault(send.target() + "/" + send.fence(), new HashMap<>())
              .remove(requestId);
          return new InstanceEvent.Dispatch(new DispatchEvent.TargetReplied(now, requestId, reply));
        });
  }

  /** A slot is in use until the reply, at most until the deadline and a grace of 1 s. */
  private void countSlot(SimulatedTarget target, DispatchEffect.SendToTarget send) {
    Map<String, Long> open =
        inFlight.computeIfAbsent(send.target() + "/" + send.fence(), k -> new HashMap<>());
    open.values().removeIf(endNanos -> self.localNow() - endNanos >= 0);
    open.put(
        send.requestId(), self.localNow() + (send.remainingMillis() + SLOT_GRACE_MILLIS) * MILLI);
    if (open.size() > target.spec().slots()) {
      world.checker().violated(self.id() + " uses " + open.size() + " slots of " + target.name());
    }
  }

  private void respond(String requestId) {
    InstanceId origin = origins.get(requestId);
    if (origin == null) {
      self.handleIn(run, now -> responded(now, requestId));
    } else {
      RequestDrivers to = world.instance(origin).drivers();
      world
          .links()
          .data(
              self.id(),
              origin,
              () -> to.self.handleIn(to.run, now -> to.responded(now, requestId)),
              () -> to.failed(requestId, true));
    }
  }

  /** The response reaches the entry. */
  private InstanceEvent responded(long now, String requestId) {
    String attempt = requestId.substring(0, requestId.lastIndexOf('/'));
    long number = Long.parseLong(attempt.substring(attempt.lastIndexOf('/') + 1));
    String own = self.id() + "/" + self.session() + "/";
    if (attempt.startsWith(own)) {
      Optional.ofNullable(held.remove(number)).ifPresent(Callers.Attempt::completed);
    }
    return new InstanceEvent.Entry(new EntryEvent.ResponseEnded(now, requestId, 0));
  }

  private void refuse(DispatchEffect.RefuseRequest refusal) {
    String requestId = refusal.requestId();
    if (refusal.kind().outcome() != Outcome.NOT_RUN) {
      refused.add(requestId);
    }
    InstanceId origin = origins.get(requestId);
    if (origin != null) {
      RequestDrivers to = world.instance(origin).drivers();
      Runnable arrives =
          () ->
              to.entry(
                  now ->
                      new EntryEvent.AttemptRefused(
                          now,
                          requestId,
                          refusal.kind(),
                          refusal.retryAfterMillis(),
                          refusal.detail()));
      world.links().data(self.id(), origin, arrives, () -> to.failed(requestId, true));
    }
  }

  private void grant(DispatchEffect.SendGrant grant) {
    SimulatedTarget target = world.target(grant.target());
    Runnable failed = () -> dispatch(now -> new DispatchEvent.GrantFailed(now, grant.target()));
    if (self.localNow() - grant.sendBeforeNanos() >= 0) {
      world.after(1, failed);
      return;
    }
    Runnable arrives =
        () ->
            target.grant(
                grant.fence().value(),
                grant.validUntilMillis(),
                answer ->
                    world
                        .links()
                        .data(target.end(), self.id(), () -> granted(grant, answer), failed),
                failed);
    world.after(
        writeDelayNanos(), () -> world.links().data(self.id(), target.end(), arrives, failed));
  }

  private void granted(
      DispatchEffect.SendGrant grant, Optional<FenceChecker.GrantResponse> answer) {
    dispatch(
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
    SimulatedTarget target = world.target(probe.target());
    Runnable failed = () -> dispatch(now -> new DispatchEvent.ProbeFailed(now, probe.target()));
    Runnable healthy = () -> dispatch(now -> new DispatchEvent.ProbeAnswered(now, probe.target()));
    Runnable answered = () -> world.links().data(target.end(), self.id(), healthy, failed);
    Runnable arrives = () -> target.probe(answered, failed);
    world.links().data(self.id(), target.end(), arrives, failed);
  }
}
