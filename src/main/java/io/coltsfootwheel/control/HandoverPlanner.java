package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Observations.Observation;
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

/** Completes handovers that the owner's dispatcher has released, and cancels hopeless ones. */
final class HandoverPlanner {
  private final Observations observations;
  private final Proposals proposals;

  HandoverPlanner(Observations observations, Proposals proposals) {
    this.observations = observations;
    this.proposals = proposals;
  }

  void plan(ControlState state, ServiceState service) {
    SlotTable table = service.slots();
    Map<TargetId, Optional<Released>> released = new HashMap<>();
    Map<Long, Group> complete = new TreeMap<>();
    Map<Long, Group> cancel = new TreeMap<>();
    for (int slot : table.handovers().keys()) {
      Handover handover = table.handovers().getOrNull(slot);
      TargetId from = table.ownerOrNull(slot);
      if (!isServing(service, from)) {
        continue;
      }
      if (!isActive(service, handover.to())) {
        group(cancel, handover, from).slots().add(slot);
      } else if (released.computeIfAbsent(from, id -> released(state, id)).stream()
          .anyMatch(r -> r.covers(slot, handover))) {
        group(complete, handover, from).slots().add(slot);
      }
    }
    cancel.values().forEach(g -> cancel(service.spec().name(), g));
    complete.values().forEach(g -> complete(service.spec().name(), g));
  }

  private static Group group(Map<Long, Group> groups, Handover handover, TargetId from) {
    return groups.computeIfAbsent(
        handover.index(), index -> new Group(from, handover, new ArrayList<>()));
  }

  private static boolean isServing(ServiceState service, TargetId target) {
    return service.targets().get(target).filter(t -> t.status().mayOwnSlots()).isPresent();
  }

  private static boolean isActive(ServiceState service, TargetId target) {
    return service.targets().get(target).filter(t -> t.status() == TargetStatus.ACTIVE).isPresent();
  }

  private Optional<Released> released(ControlState state, TargetId owner) {
    return state.content().targets().get(owner).flatMap(observations::current).map(Released::of);
  }

  private void complete(ServiceName service, Group group) {
    List<Integer> open = claim("complete", service, group);
    if (!open.isEmpty()) {
      proposals.add(
          new SupervisorEffect.ProposeCommand(
              new Command.CompleteHandover(
                  service, open, group.from(), group.handover().to(), group.handover().index())));
    }
  }

  private void cancel(ServiceName service, Group group) {
    List<Integer> open = claim("cancel", service, group);
    if (!open.isEmpty()) {
      String reason = "receiver " + group.handover().to() + " is not active any more";
      proposals.add(
          new SupervisorEffect.ProposeCommand(
              new Command.CancelHandover(service, open, group.handover().index(), reason)));
    }
  }

  /** Returns the hash slots for which no such proposal is outstanding. */
  private List<Integer> claim(String kind, ServiceName service, Group group) {
    return group.slots().stream()
        .filter(s -> proposals.claim(List.of(kind, service, s, group.handover().index())))
        .toList();
  }

  private record Group(TargetId from, Handover handover, List<Integer> slots) {}

  private record Released(Set<Integer> slots, long appliedIndex) {
    static Released of(Observation observation) {
      return new Released(
          new HashSet<>(observation.report().releasedSlots()), observation.appliedIndex());
    }

    /** A dispatcher that has not applied the BeginHandover may mean an earlier handover. */
    boolean covers(int slot, Handover handover) {
      return appliedIndex >= handover.index() && slots.contains(slot);
    }
  }
}
