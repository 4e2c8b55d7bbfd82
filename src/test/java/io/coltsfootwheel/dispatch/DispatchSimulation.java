package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;

/**
 * Simulates two dispatching instances, a control leader and four targets in virtual time, with
 * pauses, partitions, restarts and broken connections, and collects violations of the dispatch
 * rules.
 */
final class DispatchSimulation {
  /** Length of a lease, 400 ms, with 1% for clock drift and a margin of 20 ms. */
  private static final long LEASE_EXPIRY_MILLIS = 424;

  private static final int MAX_DELAY_MILLIS = 20;

  private record ScheduledAction(long atMillis, long sequence, Runnable action) {}

  private record KnownIdentity(String identity, long stamp, int slot) {}

  private static final class Instance {
    private final InstanceId id;
    private final DispatchReducer reducer;
    private long pausedUntilMillis;
    private long partitionedUntilMillis;
    private long lastRenewalMillis;
    private RoutingView view;

    private Instance(String name) {
      id = InstanceId.of(name);
      reducer = new DispatchReducer(id, FakeControl.SESSION, new DispatchSettings(4, 5_000, 5_000));
    }
  }

  private final SplittableRandom random;
  private final FakeControl control = new FakeControl();
  private final List<Instance> instances = List.of(new Instance("a"), new Instance("b"));
  private final Map<TargetId, FakeTarget> targets = new TreeMap<>();
  private final PriorityQueue<ScheduledAction> pendingActions =
      new PriorityQueue<>(
          (left, right) ->
              left.atMillis() != right.atMillis()
                  ? Long.compare(left.atMillis(), right.atMillis())
                  : Long.compare(left.sequence(), right.sequence()));
  private final List<KnownIdentity> knownIdentities = new ArrayList<>();
  private final Map<String, DispatchRequest> requestsById = new HashMap<>();
  private final Map<String, Map<String, Long>> slotExpiryByTarget = new HashMap<>();
  private final Map<String, Integer> executionsByIdentity = new HashMap<>();
  private final Set<String> executedRequests = new HashSet<>();
  private final Set<String> reportedNotRun = new HashSet<>();
  private final Map<TargetId, Long> releasedSinceMillis = new HashMap<>();
  private final Map<Integer, Long> handoverIndexBySlot = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long nowMillis = 1_000;
  private long sequence;
  private int requestCount;

  DispatchSimulation(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < 4; i++) {
      FakeTarget target =
          new FakeTarget(FakeControl.spec("t" + i, FakeControl.KEYED, 2, i < 2, "plateau"));
      targets.put(target.spec.id(), target);
      control.putTarget(target.spec);
      control.grant("t" + i, instances.get(i % 2).id);
    }
    for (int slot = 0; slot < FakeControl.HASH_SLOTS; slot++) {
      control.setOwner(slot, "t" + slot);
    }
    publish();
  }

  List<String> violations() {
    return violations;
  }

  int executions() {
    return executedRequests.size();
  }

  void run(long millis) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
      simulateMillisecond();
      while (!pendingActions.isEmpty() && pendingActions.peek().atMillis() <= nowMillis) {
        pendingActions.poll().action().run();
      }
    }
    reportedNotRun.stream()
        .filter(executedRequests::contains)
        .forEach(id -> violations.add(id + " was reported not-run and executed"));
  }

  private void simulateMillisecond() {
    if (nowMillis % 10 == 0) {
      instances.forEach(instance -> deliver(instance, 0, DispatchEvent.Tick::new));
    }
    if (nowMillis % 100 == 0) {
      instances.forEach(this::renewLease);
      moveGrants();
    }
    if (withProbability(0.2)) {
      offer();
    }
    injectFault();
  }

  private void injectFault() {
    if (withProbability(0.0004)) {
      Instance instance = pickRandom(instances);
      instance.pausedUntilMillis = nowMillis + random.nextInt(1_200);
    }
    if (withProbability(0.0002)) {
      pickRandom(instances).partitionedUntilMillis = nowMillis + random.nextInt(1_500);
    }
    if (withProbability(0.0005)) {
      FakeTarget target = pickRandom(List.copyOf(targets.values()));
      target.pausedUntilMillis = nowMillis + random.nextInt(1_500);
      schedule(target.pausedUntilMillis - nowMillis, () -> resumeIfNotPaused(target));
    }
    if (withProbability(0.0003)) {
      restart(pickRandom(List.copyOf(targets.values())));
    }
    if (withProbability(0.001)) {
      int slot = random.nextInt(FakeControl.HASH_SLOTS);
      control.startHandover(slot, activeTarget());
      handoverIndexBySlot.put(slot, control.view().appliedIndex());
      publish();
      schedule(1_000, () -> cancelHandover(slot));
    }
  }

  private void cancelHandover(int slot) {
    control.cancelHandover(slot);
    publish();
  }

  private void restart(FakeTarget target) {
    target.restart();
    control.setIncarnation(target.spec.id().value(), "i" + target.incarnation);
    publish();
  }

  private void resumeIfNotPaused(FakeTarget target) {
    if (!target.isPaused(nowMillis)) {
      List<Runnable> unread = List.copyOf(target.unreadMessages);
      target.unreadMessages.clear();
      unread.forEach(Runnable::run);
    }
  }

  // Control leader

  private void renewLease(Instance instance) {
    if (nowMillis < instance.pausedUntilMillis) {
      return;
    }
    long sentMillis = nowMillis;
    long appliedIndex = instance.view == null ? 0 : instance.view.appliedIndex();
    List<TargetReport> reports = instance.reducer.reports(nowNanos());
    if (nowMillis < instance.partitionedUntilMillis) {
      return;
    }
    schedule(
        randomDelayMillis(),
        () -> {
          instance.lastRenewalMillis = nowMillis;
          reports.forEach(report -> handleReport(report, appliedIndex));
          long leaseUntilNanos = TimeUnit.MILLISECONDS.toNanos(sentMillis + 400);
          deliver(
              instance,
              randomDelayMillis(),
              nowNanos -> new DispatchEvent.LeaseExtended(nowNanos, leaseUntilNanos));
        });
  }

  /**
   * Applies a report. A release of a hash slot counts only if the dispatcher had applied the
   * handover that it answers.
   */
  private void handleReport(TargetReport report, long appliedIndex) {
    String id = report.target().value();
    TargetEntry entry = control.view().target(report.target()).orElseThrow();
    if (!entry.grant().orElseThrow().fence().equals(report.fence())) {
      return;
    }
    for (int slot : report.releasedSlots()) {
      control
          .owner(slot)
          .filter(
              ownership ->
                  ownership.owner().equals(report.target()) && ownership.handoverTo().isPresent())
          .filter(ownership -> appliedIndex >= handoverIndexBySlot.getOrDefault(slot, 0L))
          .ifPresent(ownership -> control.setOwner(slot, ownership.handoverTo().get().value()));
    }
    if (report.condition() == TargetCondition.RELEASED) {
      releasedSinceMillis.putIfAbsent(report.target(), nowMillis);
      if (control.status(id) == TargetStatus.ACTIVE) {
        control.setStatus(id, TargetStatus.LOST);
        for (int slot = 0; slot < FakeControl.HASH_SLOTS; slot++) {
          if (control.owner(slot).orElseThrow().owner().equals(report.target())) {
            control.setOwner(slot, activeTarget());
          }
        }
      }
    } else {
      releasedSinceMillis.remove(report.target());
      if (report.condition() == TargetCondition.HEALTHY
          && control.status(id) == TargetStatus.LOST) {
        control.setStatus(id, TargetStatus.ACTIVE);
      }
    }
    publish();
  }

  private String activeTarget() {
    List<String> active =
        targets.keySet().stream()
            .map(TargetId::value)
            .filter(id -> control.status(id) == TargetStatus.ACTIVE)
            .toList();
    return active.isEmpty() ? "t0" : pickRandom(active);
  }

  /** Moves grants of instances whose lease has expired, and renews grants of released targets. */
  private void moveGrants() {
    for (TargetId target : targets.keySet()) {
      DispatchGrant grant = control.view().target(target).flatMap(TargetEntry::grant).orElseThrow();
      Instance holder = instance(grant.holder());
      Instance other = instances.get(holder == instances.get(0) ? 1 : 0);
      boolean leaseExpired = nowMillis - holder.lastRenewalMillis > LEASE_EXPIRY_MILLIS;
      boolean releasedTooLong =
          nowMillis - releasedSinceMillis.getOrDefault(target, nowMillis) > 1_000;
      if (releasedTooLong || (leaseExpired && nowMillis - other.lastRenewalMillis < 150)) {
        control.grant(target.value(), leaseExpired ? other.id : holder.id);
        releasedSinceMillis.remove(target);
        publish();
      }
    }
  }

  private void publish() {
    RoutingView view = control.view();
    for (Instance instance : instances) {
      deliver(
          instance,
          nowMillis < instance.partitionedUntilMillis
              ? instance.partitionedUntilMillis - nowMillis
              : randomDelayMillis(),
          nowNanos -> {
            instance.view = view;
            return new DispatchEvent.ViewChanged(nowNanos, view, FakeControl.SERVICES);
          });
    }
  }

  // Callers

  private void offer() {
    boolean repeated = !knownIdentities.isEmpty() && withProbability(0.4);
    Instance entryInstance = pickRandom(instances);
    if (entryInstance.view == null) {
      return;
    }
    KnownIdentity known =
        repeated ? pickRandom(knownIdentities) : createIdentity(entryInstance.view.appliedIndex());
    TargetId target = control.owner(known.slot()).orElseThrow().owner();
    DispatchGrant grant = control.view().target(target).orElseThrow().grant().orElseThrow();
    String id = "r" + requestCount++;
    DispatchRequest request =
        new DispatchRequest(
            id,
            FakeControl.KEYED,
            target,
            OptionalInt.of(known.slot()),
            Optional.of(CustomerId.of("c" + random.nextInt(3))),
            false,
            Optional.of(new RequestIdentity(known.identity(), OptionalLong.of(known.stamp()))),
            nowNanos() + TimeUnit.MILLISECONDS.toNanos(50 + random.nextInt(1_000)),
            grant.fence(),
            0);
    requestsById.put(id, request);
    deliver(
        instance(grant.holder()),
        randomDelayMillis(),
        nowNanos -> new DispatchEvent.RequestOffered(nowNanos, request));
    if (withProbability(0.03)) {
      deliver(
          instance(grant.holder()),
          random.nextInt(100),
          nowNanos -> new DispatchEvent.RequestCancelled(nowNanos, id));
    }
  }

  private KnownIdentity createIdentity(long stamp) {
    KnownIdentity known =
        new KnownIdentity(
            "k" + knownIdentities.size(), stamp, random.nextInt(FakeControl.HASH_SLOTS));
    knownIdentities.add(known);
    return known;
  }

  // Drivers

  private void deliver(Instance instance, long delayMillis, LongFunction<DispatchEvent> event) {
    schedule(
        delayMillis,
        () -> {
          if (nowMillis < instance.pausedUntilMillis) {
            deliver(instance, instance.pausedUntilMillis - nowMillis, event);
          } else {
            execute(instance, instance.reducer.apply(event.apply(nowNanos())));
          }
        });
  }

  private void execute(Instance instance, List<DispatchEffect> effects) {
    for (DispatchEffect effect : effects) {
      if (effect instanceof DispatchEffect.SendToTarget send) {
        sendRequest(instance, send);
      } else if (effect instanceof DispatchEffect.RefuseRequest refused) {
        if (refused.kind().outcome() == Outcome.NOT_RUN) {
          reportedNotRun.add(refused.requestId());
        }
      } else if (effect instanceof DispatchEffect.SendGrant grant) {
        sendGrant(instance, grant);
      } else if (effect instanceof DispatchEffect.SendProbe probe) {
        FakeTarget target = targets.get(probe.target());
        deliverToTarget(
            target,
            arrivedMillis ->
                deliver(
                    instance,
                    randomDelayMillis(),
                    nowNanos -> new DispatchEvent.ProbeAnswered(nowNanos, probe.target())));
      }
    }
  }

  private void sendRequest(Instance instance, DispatchEffect.SendToTarget send) {
    checkSlots(send);
    if (withProbability(0.02)) {
      reply(instance, send, new TargetReply.NotSent());
      return;
    }
    // Simulates a pause of the driver between checking the lease and writing the request.
    long writeDelay = withProbability(0.01) ? random.nextInt(700) : 0;
    boolean connectionBreaks = withProbability(0.05);
    if (connectionBreaks) {
      reply(instance, send, new TargetReply.Broken());
    }
    schedule(
        writeDelay,
        () ->
            deliverToTarget(
                targets.get(send.target()),
                arrivedMillis -> arriveAtTarget(instance, send, connectionBreaks)));
  }

  private void arriveAtTarget(
      Instance instance, DispatchEffect.SendToTarget send, boolean connectionBroken) {
    FakeTarget target = targets.get(send.target());
    if (!target.accepts(nowMillis, send.fence())) {
      replyUnlessBroken(connectionBroken, instance, send, new TargetReply.RefusedFence());
    } else if (withProbability(0.03)) {
      replyUnlessBroken(
          connectionBroken, instance, send, new TargetReply.RefusedShedding(random.nextInt(300)));
    } else {
      recordExecution(target, send);
      int incarnation = target.incarnation;
      target.fenceByRunningRequest.put(send.requestId(), send.fence().value());
      schedule(
          withProbability(0.02) ? random.nextInt(2_500) : random.nextInt(30),
          () -> {
            target.fenceByRunningRequest.remove(send.requestId());
            boolean restarted = incarnation != target.incarnation;
            TargetReply reply =
                restarted ? new TargetReply.Broken() : new TargetReply.Completed(200);
            replyUnlessBroken(connectionBroken, instance, send, reply);
          });
    }
  }

  private void recordExecution(FakeTarget target, DispatchEffect.SendToTarget send) {
    DispatchRequest request = requestsById.get(send.requestId());
    executedRequests.add(send.requestId());
    String identity = request.identity().orElseThrow().value();
    if (executionsByIdentity.merge(identity, 1, Integer::sum) > 1) {
      violations.add(nowMillis + ": identity " + identity + " was executed twice");
    }
    TargetId owner = control.owner(send.hashSlot().getAsInt()).orElseThrow().owner();
    if (!owner.equals(target.spec.id())) {
      violations.add(nowMillis + ": " + target.spec.id() + " executed a slot of " + owner);
    }
  }

  private void sendGrant(Instance instance, DispatchEffect.SendGrant grant) {
    if (withProbability(0.03)) {
      deliver(
          instance,
          randomDelayMillis(),
          nowNanos -> new DispatchEvent.GrantFailed(nowNanos, grant.target()));
      return;
    }
    FakeTarget target = targets.get(grant.target());
    deliverToTarget(
        target,
        arrivedMillis -> {
          boolean accepted = target.acceptGrant(grant.fence(), grant.validUntilMillis());
          Fence highest = Fence.of(target.highestFence);
          int runningOlder = target.runningOlder();
          long readMillis = nowMillis;
          deliver(
              instance,
              randomDelayMillis(),
              nowNanos ->
                  accepted
                      ? new DispatchEvent.GrantAnswered(
                          nowNanos, grant.target(), grant.fence(), 0, runningOlder, readMillis)
                      : new DispatchEvent.GrantRejected(nowNanos, grant.target(), highest));
        });
  }

  private void deliverToTarget(FakeTarget target, LongConsumer message) {
    int incarnation = target.incarnation;
    schedule(
        random.nextInt(5),
        () -> {
          long arrivedMillis = nowMillis;
          if (incarnation == target.incarnation) {
            Runnable delivery = () -> message.accept(arrivedMillis);
            if (target.isPaused(nowMillis)) {
              target.unreadMessages.add(delivery);
            } else {
              delivery.run();
            }
          }
        });
  }

  private void replyUnlessBroken(
      boolean connectionBroken,
      Instance instance,
      DispatchEffect.SendToTarget send,
      TargetReply reply) {
    if (!connectionBroken) {
      reply(instance, send, reply);
    }
  }

  private void reply(Instance instance, DispatchEffect.SendToTarget send, TargetReply reply) {
    deliver(
        instance,
        randomDelayMillis(),
        nowNanos -> {
          if (!(reply instanceof TargetReply.Broken)) {
            occupiedSlots(send).remove(send.requestId());
          }
          return new DispatchEvent.TargetReplied(nowNanos, send.requestId(), reply);
        });
  }

  private void checkSlots(DispatchEffect.SendToTarget send) {
    Map<String, Long> slots = occupiedSlots(send);
    slots.values().removeIf(expiresNanos -> nowNanos() >= expiresNanos);
    long deadlineNanos = requestsById.get(send.requestId()).deadlineNanos();
    slots.put(send.requestId(), deadlineNanos + InFlightRequests.SLOT_GRACE_NANOS);
    if (slots.size() > 2) {
      violations.add(nowMillis + ": " + slots.size() + " requests in flight at " + send.target());
    }
  }

  /**
   * Returns the expiry of each occupied slot, per dispatch fence and incarnation of the target: a
   * restart of the target frees the slots of requests with a broken connection.
   */
  private Map<String, Long> occupiedSlots(DispatchEffect.SendToTarget send) {
    return slotExpiryByTarget.computeIfAbsent(
        send.target() + "/" + send.fence() + "/" + targets.get(send.target()).incarnation,
        key -> new HashMap<>());
  }

  private Instance instance(InstanceId id) {
    return instances.get(0).id.equals(id) ? instances.get(0) : instances.get(1);
  }

  private <T> T pickRandom(List<T> list) {
    return list.get(random.nextInt(list.size()));
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private int randomDelayMillis() {
    return random.nextInt(MAX_DELAY_MILLIS);
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private void schedule(long delayMillis, Runnable action) {
    pendingActions.add(new ScheduledAction(nowMillis + delayMillis, sequence++, action));
  }
}
