package io.coltsfootwheel.control;

import io.coltsfootwheel.control.PlacementInput.Candidate;
import io.coltsfootwheel.control.SlotPlacement.SlotMove;
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

/**
 * Proposes assignments and handovers of the hash slots of each service. The next batch of proposals
 * for a service follows once the previous one is applied, has failed or has timed out.
 */
final class SlotPlanner {
  /**
   * Maximum number of hash slots of a service in handover at the same time; requests for a hash
   * slot wait during its handover.
   */
  static final int MAX_CONCURRENT_HANDOVERS = 64;

  /**
   * Time from the first healthy target of a service to the first assignment, in which targets that
   * start together all announce themselves.
   */
  private static final long FIRST_ASSIGNMENT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time from the first sight of a GONE target until its hash slots are assigned. An operator's
   * GONE ends a dispatch grant that may still be in use, so both the lease of the dispatcher and
   * the grant that it sent to the target must run out before another target becomes the owner.
   */
  private static final long GONE_WAIT_NANOS =
      ControlTiming.grantorWaitNanos(ControlTiming.LEASE_MILLIS)
          + ControlTiming.grantorWaitNanos(ControlTiming.GRANT_TTL_MILLIS);

  private final TargetObservations observations;
  private final UnappliedProposals proposals;
  private final LoadPlanner loadPlanner;
  private final Map<ServiceName, ProposalBatch> batches = new HashMap<>();

  /**
   * Input of each service from which neither an assignment nor a balancing move followed. As long
   * as the input is the same, only load can require moves, and the scans of all hash slots are
   * skipped.
   */
  private final Map<ServiceName, PlacementInput> balancedInputs = new HashMap<>();

  /** Time at which each service without owned hash slots first had a healthy target. */
  private final Map<ServiceName, Long> firstHealthyNanos = new HashMap<>();

  private final Map<TargetId, Long> firstSeenGoneNanos = new HashMap<>();

  SlotPlanner(TargetObservations observations, UnappliedProposals proposals) {
    this.observations = observations;
    this.proposals = proposals;
    this.loadPlanner = new LoadPlanner(observations);
  }

  void clear() {
    loadPlanner.clear();
    batches.clear();
    balancedInputs.clear();
    firstHealthyNanos.clear();
    firstSeenGoneNanos.clear();
  }

  void plan(ControlState state, ServiceState service) {
    long nowNanos = proposals.nowNanos();
    ServiceName name = service.spec().name();
    ProposalBatch batch = batches.get(name);
    if (batch != null && !batch.isFinished(service, nowNanos)) {
      return;
    }
    batches.remove(name);
    PlacementInput input = input(state, service);
    if (input.candidates().stream()
            .noneMatch(candidate -> candidate.active() && candidate.healthy())
        || !isStable(service, nowNanos)) {
      return;
    }
    if (input.equals(balancedInputs.get(name))) {
      beginHandovers(service, loadPlanner.plan(state, service, input, nowNanos), true);
      return;
    }
    Map<TargetId, List<Integer>> assignments = SlotPlacement.assignFreeSlots(input);
    if (!assignments.isEmpty()) {
      assign(service, assignments);
      return;
    }
    int activeHandovers = countActiveHandovers(input);
    int limit = MAX_CONCURRENT_HANDOVERS - activeHandovers;
    List<SlotMove> balancingMoves = limit > 0 ? SlotPlacement.balance(input, limit) : List.of();
    if (!balancingMoves.isEmpty()) {
      beginHandovers(service, balancingMoves, false);
    } else if (activeHandovers == 0) {
      balancedInputs.put(name, input);
      beginHandovers(service, loadPlanner.plan(state, service, input, nowNanos), true);
    }
  }

  /**
   * Counts the handovers in progress whose owner is healthy; others wait for an owner that does not
   * answer, and are not counted so that they do not block further handovers.
   */
  private static int countActiveHandovers(PlacementInput input) {
    Set<TargetId> healthy =
        input.candidates().stream()
            .filter(Candidate::healthy)
            .map(Candidate::id)
            .collect(Collectors.toSet());
    SlotOwnershipTable table = input.table();
    return (int)
        table.handovers().keys().stream()
            .filter(slot -> healthy.contains(table.ownerOrNull(slot)))
            .count();
  }

  /**
   * Tells whether hash slots of a service may be assigned: some already have an owner, or the delay
   * of the first assignment has passed.
   */
  private boolean isStable(ServiceState service, long nowNanos) {
    SlotOwnershipTable table = service.slots();
    for (int slot = 0; slot < table.size(); slot++) {
      if (table.ownerOrNull(slot) != null) {
        return true;
      }
    }
    long sinceNanos = firstHealthyNanos.computeIfAbsent(service.spec().name(), newName -> nowNanos);
    return nowNanos - sinceNanos >= FIRST_ASSIGNMENT_DELAY_NANOS;
  }

  private PlacementInput input(ControlState state, ServiceState service) {
    Set<TargetId> possiblyServing = new HashSet<>();
    List<Candidate> candidates =
        service.targets().values().stream()
            .filter(target -> target.status().mayOwnSlots())
            .map(target -> candidate(state, target))
            .toList();
    for (TargetEntry target : service.targets().values()) {
      if (target.status() == TargetStatus.GONE && !isGoneWaitOver(target.spec().id())) {
        possiblyServing.add(target.spec().id());
      } else if (target.status() != TargetStatus.GONE) {
        firstSeenGoneNanos.remove(target.spec().id());
      }
    }
    return new PlacementInput(service.slots(), candidates, possiblyServing);
  }

  private Candidate candidate(ControlState state, TargetEntry target) {
    TargetId id = target.spec().id();
    boolean healthy = state.content().targets().get(id).filter(observations::isHealthy).isPresent();
    return new Candidate(
        id, target.spec().slots(), target.status() == TargetStatus.ACTIVE, healthy);
  }

  private boolean isGoneWaitOver(TargetId target) {
    long sinceNanos = firstSeenGoneNanos.computeIfAbsent(target, id -> proposals.nowNanos());
    return proposals.nowNanos() - sinceNanos >= GONE_WAIT_NANOS;
  }

  private void assign(ServiceState service, Map<TargetId, List<Integer>> assignments) {
    ProposalBatch batch = new ProposalBatch(proposals.nowNanos());
    assignments.forEach(
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

  private void beginHandovers(ServiceState service, List<SlotMove> moves, boolean forLoad) {
    if (moves.isEmpty()) {
      return;
    }
    ProposalBatch batch = new ProposalBatch(proposals.nowNanos());
    for (List<SlotMove> group : SlotPlacement.groupMoves(moves)) {
      SlotMove first = group.get(0);
      List<Integer> slots = group.stream().map(SlotMove::slot).toList();
      batch.add(service.slots(), slots, first.to());
      propose(
          new Command.BeginHandover(
              service.spec().name(), slots, first.from(), first.to(), forLoad, first.reason()));
    }
    batches.put(service.spec().name(), batch);
  }

  private void propose(Command command) {
    proposals.addEffect(new SupervisorEffect.ProposeCommand(command));
  }

  /** Proposals for one service that are not applied yet. */
  private static final class ProposalBatch {
    private final long proposedNanos;

    /** Version of each hash slot of the batch at the time of the proposals. */
    private final Map<Integer, SlotVersion> proposedVersions = new HashMap<>();

    private final Set<TargetId> receivers = new HashSet<>();

    ProposalBatch(long proposedNanos) {
      this.proposedNanos = proposedNanos;
    }

    void add(SlotOwnershipTable table, List<Integer> slots, TargetId receiver) {
      slots.forEach(slot -> proposedVersions.put(slot, SlotVersion.of(table, slot)));
      receivers.add(receiver);
    }

    /**
     * Tells whether each hash slot of the batch has changed since the proposals, a receiver is not
     * ACTIVE any more, or the proposals timed out.
     */
    boolean isFinished(ServiceState service, long nowNanos) {
      if (nowNanos - proposedNanos >= UnappliedProposals.TIMEOUT_NANOS) {
        return true;
      }
      boolean receiverLost =
          receivers.stream()
              .anyMatch(
                  id ->
                      service
                          .targets()
                          .get(id)
                          .filter(target -> target.status() == TargetStatus.ACTIVE)
                          .isEmpty());
      return receiverLost
          || proposedVersions.entrySet().stream()
              .noneMatch(
                  entry ->
                      entry.getValue().equals(SlotVersion.of(service.slots(), entry.getKey())));
    }
  }

  /** Fence and handover of a hash slot, which together change with each change of the slot. */
  private record SlotVersion(long fence, long handoverIndex) {
    static SlotVersion of(SlotOwnershipTable table, int slot) {
      Handover handover = table.handovers().getOrNull(slot);
      return new SlotVersion(table.fence(slot), handover == null ? 0 : handover.index());
    }
  }
}
