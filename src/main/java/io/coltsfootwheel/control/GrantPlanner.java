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

/**
 * Proposes a dispatch grant for each target that is not GONE and has no dispatcher, and the end of
 * grants that their holders returned or released.
 */
final class GrantPlanner {
  private final LeaseTracker leases;
  private final UnappliedProposals proposals;

  /** Proposed grants that are not applied yet. */
  private final Map<TargetId, ProposedGrant> pending = new HashMap<>();

  /** Instance that last released each target; it is the last choice for the next grant. */
  private final Map<TargetId, InstanceId> releasedBy = new HashMap<>();

  GrantPlanner(LeaseTracker leases, UnappliedProposals proposals) {
    this.leases = leases;
    this.proposals = proposals;
  }

  void clear() {
    pending.clear();
    releasedBy.clear();
  }

  /**
   * Proposes a dispatcher for each target that has none. Among the instances that may receive
   * grants it prefers, in this order, one that did not release the target last, one with the fewest
   * targets, and one in the availability zone of the target.
   */
  void plan(ControlState state) {
    pending.entrySet().removeIf(entry -> !isPending(state, entry.getKey(), entry.getValue()));
    releasedBy.keySet().removeIf(id -> !state.content().targets().contains(id));
    Map<InstanceId, Integer> targetCounts = null;
    for (TargetState target : state.content().targets().values()) {
      boolean needsDispatcher =
          target.status() != TargetStatus.GONE
              && target.entry().grant().isEmpty()
              && !pending.containsKey(target.spec().id());
      if (!needsDispatcher) {
        continue;
      }
      targetCounts = targetCounts == null ? targetCounts(state) : targetCounts;
      Optional<InstanceState> holder = chooseHolder(state, target, targetCounts);
      if (holder.isPresent()) {
        propose(target, holder.get());
        targetCounts.merge(holder.get().spec().id(), 1, Integer::sum);
      }
    }
  }

  private boolean isPending(ControlState state, TargetId id, ProposedGrant proposed) {
    return state.targetChangedIndex(id) == proposed.changedIndex()
        && proposals.nowNanos() - proposed.proposedNanos() < UnappliedProposals.TIMEOUT_NANOS
        && leases.mayReceiveGrants(proposed.holder(), proposals.nowNanos());
  }

  private void propose(TargetState target, InstanceState holder) {
    TargetId id = target.spec().id();
    InstanceId instance = holder.spec().id();
    pending.put(id, new ProposedGrant(instance, target.changedIndex(), proposals.nowNanos()));
    String reason = "dispatcher " + instance + ": fewest targets, zone " + holder.spec().zone();
    proposals.addEffect(
        new SupervisorEffect.ProposeCommand(
            new Command.GrantDispatch(id, instance, holder.spec().session(), reason)));
  }

  private Map<InstanceId, Integer> targetCounts(ControlState state) {
    Map<InstanceId, Integer> targetCounts = new HashMap<>();
    for (TargetState target : state.content().targets().values()) {
      target
          .entry()
          .grant()
          .ifPresent(grant -> targetCounts.merge(grant.holder(), 1, Integer::sum));
    }
    pending.values().forEach(proposed -> targetCounts.merge(proposed.holder(), 1, Integer::sum));
    return targetCounts;
  }

  private Optional<InstanceState> chooseHolder(
      ControlState state, TargetState target, Map<InstanceId, Integer> targetCounts) {
    AvailabilityZone zone = target.spec().zone();
    InstanceId lastHolder = releasedBy.get(target.spec().id());
    return state.content().instances().values().stream()
        .filter(instance -> leases.mayReceiveGrants(instance.spec().id(), proposals.nowNanos()))
        .min(
            Comparator.comparing(
                    (InstanceState instance) -> instance.spec().id().equals(lastHolder))
                .thenComparing(instance -> targetCounts.getOrDefault(instance.spec().id(), 0))
                .thenComparing(instance -> !instance.spec().zone().equals(zone))
                .thenComparing(instance -> instance.spec().id()));
  }

  /**
   * Proposes the end of the grants that a leaving instance returned: it had applied the grant when
   * it sent the renewal, but the renewal no longer reports on the target.
   */
  void revokeReturned(ControlState state, Renewal renewal) {
    Set<TargetId> reported =
        renewal.reports().stream().map(TargetReport::target).collect(Collectors.toSet());
    for (TargetState target : state.content().targets().values()) {
      target
          .entry()
          .grant()
          .filter(grant -> grant.holder().equals(renewal.instance()))
          .filter(grant -> grant.session().equals(renewal.session()))
          .filter(grant -> grant.fence().value() <= renewal.appliedIndex())
          .filter(grant -> !reported.contains(target.spec().id()))
          .ifPresent(grant -> revoke(target, grant, 0, "given back by leaving " + grant.holder()));
    }
  }

  /**
   * Proposes the end of the grant of a dispatcher that has released its target. The next grant goes
   * to another instance if there is one.
   */
  void revokeReleased(TargetState target, DispatchGrant grant, String reason) {
    releasedBy.put(target.spec().id(), grant.holder());
    revoke(target, grant, target.changedIndex(), reason);
  }

  private void revoke(TargetState target, DispatchGrant grant, long expectedIndex, String reason) {
    TargetId id = target.spec().id();
    proposals.propose(
        List.of("revoke", id, grant.fence(), expectedIndex),
        new Command.RevokeDispatch(id, grant.fence(), expectedIndex, reason));
  }

  private record ProposedGrant(InstanceId holder, long changedIndex, long proposedNanos) {}
}
