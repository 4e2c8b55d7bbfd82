package io.coltsfootwheel.control;

import io.coltsfootwheel.control.TargetObservations.Observation;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Proposes to complete handovers whose hash slots the owner's dispatcher has released, and to
 * cancel handovers whose receiver is not ACTIVE. Handovers of an owner that is LOST or GONE are
 * left to {@link SlotPlanner}, which assigns the hash slots anew.
 */
final class HandoverPlanner {
  private final TargetObservations observations;
  private final UnappliedProposals proposals;

  HandoverPlanner(TargetObservations observations, UnappliedProposals proposals) {
    this.observations = observations;
    this.proposals = proposals;
  }

  void plan(ControlState state, ServiceState service) {
    SlotOwnershipTable table = service.slots();
    Map<TargetId, Optional<ReleasedSlots>> released = new HashMap<>();
    Map<Long, HandoverGroup> completable = new TreeMap<>();
    Map<Long, HandoverGroup> cancellable = new TreeMap<>();
    for (int slot : table.handovers().keys()) {
      Handover handover = table.handovers().getOrNull(slot);
      TargetId from = table.ownerOrNull(slot);
      if (!isServing(service, from)) {
        continue;
      }
      if (!isActive(service, handover.to())) {
        group(cancellable, handover, from).slots().add(slot);
      } else if (released.computeIfAbsent(from, id -> released(state, id)).stream()
          .anyMatch(slots -> slots.covers(slot, handover))) {
        group(completable, handover, from).slots().add(slot);
      }
    }
    cancellable.values().forEach(group -> cancel(service.spec().name(), group));
    completable.values().forEach(group -> complete(service.spec().name(), group));
  }

  private static HandoverGroup group(
      Map<Long, HandoverGroup> groups, Handover handover, TargetId from) {
    return groups.computeIfAbsent(
        handover.index(), index -> new HandoverGroup(from, handover, new ArrayList<>()));
  }

  private static boolean isServing(ServiceState service, TargetId target) {
    return service.targets().get(target).filter(entry -> entry.status().mayOwnSlots()).isPresent();
  }

  private static boolean isActive(ServiceState service, TargetId target) {
    return service
        .targets()
        .get(target)
        .filter(entry -> entry.status() == TargetStatus.ACTIVE)
        .isPresent();
  }

  private Optional<ReleasedSlots> released(ControlState state, TargetId owner) {
    return state
        .content()
        .targets()
        .get(owner)
        .flatMap(observations::current)
        .map(ReleasedSlots::of);
  }

  private void complete(ServiceName service, HandoverGroup group) {
    List<Integer> unproposed = withoutPendingProposal("complete", service, group);
    if (!unproposed.isEmpty()) {
      proposals.addEffect(
          new SupervisorEffect.ProposeCommand(
              new Command.CompleteHandover(
                  service,
                  unproposed,
                  group.from(),
                  group.handover().to(),
                  group.handover().index())));
    }
  }

  private void cancel(ServiceName service, HandoverGroup group) {
    List<Integer> unproposed = withoutPendingProposal("cancel", service, group);
    if (!unproposed.isEmpty()) {
      String reason = "receiver " + group.handover().to() + " is not active any more";
      proposals.addEffect(
          new SupervisorEffect.ProposeCommand(
              new Command.CancelHandover(service, unproposed, group.handover().index(), reason)));
    }
  }

  /**
   * Returns the hash slots without an unapplied proposal of this kind, and records one for them.
   */
  private List<Integer> withoutPendingProposal(
      String kind, ServiceName service, HandoverGroup group) {
    return group.slots().stream()
        .filter(
            slot -> proposals.markProposed(List.of(kind, service, slot, group.handover().index())))
        .toList();
  }

  private record HandoverGroup(TargetId from, Handover handover, List<Integer> slots) {}

  private record ReleasedSlots(Set<Integer> slots, long appliedIndex) {
    static ReleasedSlots of(Observation observation) {
      return new ReleasedSlots(
          new HashSet<>(observation.report().releasedSlots()), observation.appliedIndex());
    }

    /**
     * Tells whether a hash slot was released for this handover. A dispatcher that has not applied
     * its BeginHandover may have reported the release for an earlier handover.
     */
    boolean covers(int slot, Handover handover) {
      return appliedIndex >= handover.index() && slots.contains(slot);
    }
  }
}
