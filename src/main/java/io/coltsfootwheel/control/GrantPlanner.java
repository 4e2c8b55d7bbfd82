package io.coltsfootwheel.control;

import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Gives every target that is not gone a dispatcher, and ends grants that were given back. */
final class GrantPlanner {
  private final Leases leases;
  private final Proposals proposals;
  private final Map<TargetId, PendingGrant> pending = new HashMap<>();
  private final Map<TargetId, InstanceId> avoided = new HashMap<>();

  GrantPlanner(Leases leases, Proposals proposals) {
    this.leases = leases;
    this.proposals = proposals;
  }

  void clear() {
    pending.clear();
    avoided.clear();
  }

  /** Proposes dispatchers for targets that have none. */
  void plan(ControlState state) {
    pending.entrySet().removeIf(e -> !isOpen(state, e.getKey(), e.getValue()));
    avoided.keySet().removeIf(id -> !state.content().targets().contains(id));
    Map<InstanceId, Integer> load = null;
    for (TargetState target : state.content().targets().values()) {
      boolean lacks =
          target.status() != TargetStatus.GONE
              && target.entry().grant().isEmpty()
              && !pending.containsKey(target.spec().id());
      if (!lacks) {
        continue;
      }
      load = load == null ? targetsPerInstance(state) : load;
      Optional<InstanceState> holder = choose(state, target, load);
      if (holder.isPresent()) {
        propose(target, holder.get());
        load.merge(holder.get().spec().id(), 1, Integer::sum);
      }
    }
  }

  private boolean isOpen(ControlState state, TargetId id, PendingGrant grant) {
    return state.targetChangedIndex(id) == grant.changedIndex()
        && proposals.nowNanos() - grant.proposedNanos() < Proposals.TIMEOUT_NANOS
        && leases.mayDispatch(grant.holder(), proposals.nowNanos());
  }

  private void propose(TargetState target, InstanceState holder) {
    TargetId id = target.spec().id();
    InstanceId instance = holder.spec().id();
    pending.put(id, new PendingGrant(instance, target.changedIndex(), proposals.nowNanos()));
    String reason = "dispatcher " + instance + ": fewest targets, zone " + holder.spec().zone();
    proposals.add(
        new SupervisorEffect.ProposeCommand(
            new Command.GrantDispatch(id, instance, holder.spec().session(), reason)));
  }

  private Map<InstanceId, Integer> targetsPerInstance(ControlState state) {
    Map<InstanceId, Integer> load = new HashMap<>();
    for (TargetState target : state.content().targets().values()) {
      target.entry().grant().ifPresent(g -> load.merge(g.holder(), 1, Integer::sum));
    }
    pending.values().forEach(p -> load.merge(p.holder(), 1, Integer::sum));
    return load;
  }

  private Optional<InstanceState> choose(
      ControlState state, TargetState target, Map<InstanceId, Integer> load) {
    AvailabilityZone zone = target.spec().zone();
    InstanceId avoid = avoided.get(target.spec().id());
    return state.content().instances().values().stream()
        .filter(i -> leases.mayDispatch(i.spec().id(), proposals.nowNanos()))
        .min(
            Comparator.comparing((InstanceState i) -> i.spec().id().equals(avoid))
                .thenComparing(i -> load.getOrDefault(i.spec().id(), 0))
                .thenComparing(i -> !i.spec().zone().equals(zone))
                .thenComparing(i -> i.spec().id()));
  }

  /** Ends the grants that a leaving instance no longer reports although it has applied them. */
  void giveBack(ControlState state, Renewal renewal) {
    Set<TargetId> held =
        renewal.reports().stream().map(TargetReport::target).collect(Collectors.toSet());
    for (TargetState target : state.content().targets().values()) {
      target
          .entry()
          .grant()
          .filter(g -> g.holder().equals(renewal.instance()))
          .filter(g -> g.session().equals(renewal.session()))
          .filter(g -> g.fence().value() <= renewal.appliedIndex())
          .filter(g -> !held.contains(target.spec().id()))
          .ifPresent(g -> revoke(target, g, 0, "given back by leaving " + g.holder()));
    }
  }

  /** Moves a target that its dispatcher has released to another dispatcher. */
  void moveElsewhere(TargetState target, DispatchGrant grant, String reason) {
    avoided.put(target.spec().id(), grant.holder());
    revoke(target, grant, target.changedIndex(), reason);
  }

  private void revoke(TargetState target, DispatchGrant grant, long expectedIndex, String reason) {
    TargetId id = target.spec().id();
    proposals.propose(
        List.of("revoke", id, grant.fence(), expectedIndex),
        new Command.RevokeDispatch(id, grant.fence(), expectedIndex, reason));
  }

  private record PendingGrant(InstanceId holder, long changedIndex, long proposedNanos) {}
}
