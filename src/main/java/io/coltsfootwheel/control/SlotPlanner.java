package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Placement.Move;
import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.model.ControlTiming;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Assigns and moves the hash slots of each service, one batch of proposals at a time. */
final class SlotPlanner {
  /** Requests for a hash slot in handover wait, so only some move at the same time. */
  static final int MAX_HANDOVERS = 64;

  /** Targets that start together all announce themselves before the first assignment. */
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * An operator's GONE ends a grant that may still be in use: the dispatcher's lease and the
   * target's own grant must run out before another target becomes the owner.
   */
  private static final long GONE_WAIT_NANOS =
      ControlTiming.grantorWaitNanos(ControlTiming.LEASE_MILLIS)
          + ControlTiming.grantorWaitNanos(ControlTiming.GRANT_TTL_MILLIS);

  private final Observations observations;
  private final Proposals proposals;
  private final LoadPlanner loads;
  private final Map<ServiceName, Batch> batches = new HashMap<>();

  /** Facts from which nothing but load called for a move; spares the scans of all hash slots. */
  private final Map<ServiceName, PlacementInput> balanced = new HashMap<>();

  private final Map<ServiceName, Long> firstHealthyNanos = new HashMap<>();
  private final Map<TargetId, Long> goneSinceNanos = new HashMap<>();

  SlotPlanner(Observations observations, Proposals proposals) {
    this.observations = observations;
    this.proposals = proposals;
    this.loads = new LoadPlanner(observations);
  }

  void clear() {
    loads.clear();
    batches.clear();
    balanced.clear();
    firstHealthyNanos.clear();
    goneSinceNanos.clear();
  }

  void plan(ControlState state, ServiceState service) {
    long now = proposals.nowNanos();
    ServiceName name = service.spec().name();
    Batch batch = batches.get(name);
    if (batch != null && !batch.isOver(service, now)) {
      return;
    }
    batches.remove(name);
    PlacementInput input = input(state, service);
    if (input.candidates().stream().noneMatch(c -> c.active() && c.healthy())
        || !isSettled(service, now)) {
      return;
    }
    if (input.equals(balanced.get(name))) {
      begin(service, loads.plan(state, service, input, now), true);
      return;
    }
    Map<TargetId, List<Integer>> free = Placement.assignFree(input);
    if (!free.isEmpty()) {
      assign(service, free);
      return;
    }
    int moving = movingSlots(input);
    int room = MAX_HANDOVERS - moving;
    List<Move> even = room > 0 ? Placement.balance(input, room) : List.of();
    if (!even.isEmpty()) {
      begin(service, even, false);
    } else if (moving == 0) {
      balanced.put(name, input);
      begin(service, loads.plan(state, service, input, now), true);
    }
  }

  /** Counts handovers in progress, without those that wait for an owner that does not answer. */
  private static int movingSlots(PlacementInput input) {
    Set<TargetId> healthy =
        input.candidates().stream()
            .filter(Candidate::healthy)
            .map(Candidate::id)
            .collect(Collectors.toSet());
    SlotTable table = input.table();
    return (int)
        table.handovers().keys().stream()
            .filter(slot -> healthy.contains(table.ownerOrNull(slot)))
            .count();
  }

  private boolean isSettled(ServiceState service, long now) {
    SlotTable table = service.slots();
    for (int slot = 0; slot < table.size(); slot++) {
      if (table.ownerOrNull(slot) != null) {
        return true;
      }
    }
    long since = firstHealthyNanos.computeIfAbsent(service.spec().name(), s -> now);
    return now - since >= SETTLE_NANOS;
  }

  private PlacementInput input(ControlState state, ServiceState service) {
    Set<TargetId> unreleased = new HashSet<>();
    List<Candidate> candidates =
        service.targets().values().stream()
            .filter(t -> t.status().mayOwnSlots())
            .map(t -> candidate(state, t))
            .toList();
    for (TargetEntry target : service.targets().values()) {
      if (target.status() == TargetStatus.GONE && !isGoneLongEnough(target.spec().id())) {
        unreleased.add(target.spec().id());
      } else if (target.status() != TargetStatus.GONE) {
        goneSinceNanos.remove(target.spec().id());
      }
    }
    return new PlacementInput(service.slots(), candidates, unreleased);
  }

  private Candidate candidate(ControlState state, TargetEntry target) {
    TargetId id = target.spec().id();
    boolean healthy = state.content().targets().get(id).filter(observations::isHealthy).isPresent();
    return new Candidate(
        id, target.spec().slots(), target.status() == TargetStatus.ACTIVE, healthy);
  }

  private boolean isGoneLongEnough(TargetId target) {
    long since = goneSinceNanos.computeIfAbsent(target, t -> proposals.nowNanos());
    return proposals.nowNanos() - since >= GONE_WAIT_NANOS;
  }

  private void assign(ServiceState service, Map<TargetId, List<Integer>> free) {
    Batch batch = new Batch(proposals.nowNanos());
    free.forEach(
        (owner, slots) -> {
          batch.add(service.slots(), slots, owner);
          propose(
              new Command.AssignSlots(
                  service.spec().name(),
                  owner,
                  slots,
                  "the hash slots had no owner that serves; " + owner + " was below its share"));
        });
    batches.put(service.spec().name(), batch);
  }

  private void begin(ServiceState service, List<Move> moves, boolean forLoad) {
    if (moves.isEmpty()) {
      return;
    }
    Batch batch = new Batch(proposals.nowNanos());
    for (List<Move> group : Placement.grouped(moves)) {
      Move first = group.get(0);
      List<Integer> slots = group.stream().map(Move::slot).toList();
      batch.add(service.slots(), slots, first.to());
      propose(
          new Command.BeginHandover(
              service.spec().name(), slots, first.from(), first.to(), forLoad, first.reason()));
    }
    batches.put(service.spec().name(), batch);
  }

  private void propose(Command command) {
    proposals.add(new SupervisorEffect.ProposeCommand(command));
  }

  /** Outstanding proposals for one service. */
  private static final class Batch {
    private final long proposedNanos;
    private final Map<Integer, Mark> marks = new HashMap<>();
    private final Set<TargetId> receivers = new HashSet<>();

    Batch(long proposedNanos) {
      this.proposedNanos = proposedNanos;
    }

    void add(SlotTable table, List<Integer> slots, TargetId receiver) {
      slots.forEach(slot -> marks.put(slot, Mark.of(table, slot)));
      receivers.add(receiver);
    }

    /** Tells whether every hash slot changed, a receiver stopped serving, or time ran out. */
    boolean isOver(ServiceState service, long now) {
      if (now - proposedNanos >= Proposals.TIMEOUT_NANOS) {
        return true;
      }
      boolean lostReceiver =
          receivers.stream()
              .anyMatch(
                  id ->
                      service
                          .targets()
                          .get(id)
                          .filter(t -> t.status() == TargetStatus.ACTIVE)
                          .isEmpty());
      return lostReceiver
          || marks.entrySet().stream()
              .noneMatch(e -> e.getValue().equals(Mark.of(service.slots(), e.getKey())));
    }
  }

  private record Mark(long fence, long handoverIndex) {
    static Mark of(SlotTable table, int slot) {
      Handover handover = table.handovers().getOrNull(slot);
      return new Mark(table.fence(slot), handover == null ? 0 : handover.index());
    }
  }
}
