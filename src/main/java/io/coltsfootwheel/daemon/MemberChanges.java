package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.consensus.ProposalFailure;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Changes of the control group that the leader asks for: it adds configured control members that
 * belong to no group, and checks removals by operators. Replaced disks are the log's own concern.
 */
final class MemberChanges {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long JOIN_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Set<InstanceId> controlMembers;
  private final Map<MemberId, Long> joiningNanos = new HashMap<>();
  private final Map<Long, Removal> removalByProposal = new HashMap<>();
  private Optional<Long> nextStepNanos = Optional.empty();
  private Optional<Long> nextJoinNanos = Optional.empty();

  /** One change of the group. */
  record Step(MembershipChange change, MemberId member) {}

  /** Removal that an operator asked for through an instance. */
  private record Removal(InstanceId from, long requestId) {
    private InstanceEffect answer(CommandResult result) {
      return new InstanceEffect.SendMessage(
          from, new ControlMessage.RemovalAnswer(requestId, result));
    }
  }

  MemberChanges(List<InstanceId> controlMembers) {
    this.controlMembers = Set.copyOf(controlMembers);
  }

  /**
   * Notes that an instance without a group wants to join.
   *
   * @param nowNanos monotonic time
   * @param member the instance with its disk identity
   */
  void joining(long nowNanos, MemberId member) {
    if (controlMembers.contains(member.instance())) {
      joiningNanos.put(member, nowNanos);
    }
  }

  /**
   * Returns the next step that adds a member; a refused step is tried again.
   *
   * @param nowNanos monotonic time
   * @param group the present group
   * @return the step, or empty when none is due
   */
  Optional<Step> due(long nowNanos, List<MemberProgress> group) {
    if (isBefore(nowNanos, nextStepNanos)) {
      return Optional.empty();
    }
    nextStepNanos = Optional.of(nowNanos + STEP_NANOS);
    joiningNanos.values().removeIf(heard -> nowNanos - heard > JOIN_VALID_NANOS);
    return promotion(group).or(() -> admission(group));
  }

  private Optional<Step> promotion(List<MemberProgress> group) {
    return group.stream()
        .filter(m -> !m.voter() && m.heard())
        .filter(m -> group.stream().noneMatch(o -> o.voter() && isSameInstance(o, m.member())))
        .map(m -> new Step(MembershipChange.PROMOTE, m.member()))
        .findFirst();
  }

  private Optional<Step> admission(List<MemberProgress> group) {
    return joiningNanos.keySet().stream()
        .filter(j -> group.stream().noneMatch(o -> isSameInstance(o, j)))
        .map(j -> new Step(MembershipChange.ADD_LEARNER, j))
        .findFirst();
  }

  /**
   * Returns the requests of an instance that belongs to no group, when they are due.
   *
   * @param nowNanos monotonic time
   * @param self this instance with its disk identity
   * @return one request to each other control member
   */
  List<InstanceEffect> joinDue(long nowNanos, MemberId self) {
    if (isBefore(nowNanos, nextJoinNanos)) {
      return List.of();
    }
    nextJoinNanos = Optional.of(nowNanos + STEP_NANOS);
    ControlMessage join = new ControlMessage.Join(self.diskId());
    return controlMembers.stream()
        .filter(m -> !m.equals(self.instance()))
        .map(m -> (InstanceEffect) new InstanceEffect.SendMessage(m, join))
        .toList();
  }

  private static boolean isBefore(long nowNanos, Optional<Long> dueNanos) {
    return dueNanos.filter(due -> nowNanos - due < 0).isPresent();
  }

  /** Returns the answer to a removal that must not be tried, or empty when it may be. */
  Optional<InstanceEffect> refuse(
      InstanceId from, ControlMessage.RemoveMember removal, List<MemberProgress> group) {
    return refusal(removal.instance(), group)
        .map(result -> new Removal(from, removal.requestId()).answer(result));
  }

  /** Returns the steps that remove all identities of an instance. */
  static List<Step> removals(InstanceId instance, List<MemberProgress> group) {
    return group.stream()
        .filter(m -> m.member().instance().equals(instance))
        .map(m -> new Step(MembershipChange.REMOVE, m.member()))
        .toList();
  }

  /** Notes the number under which a removal is proposed. */
  void begun(long proposalId, InstanceId from, ControlMessage.RemoveMember removal) {
    removalByProposal.put(proposalId, new Removal(from, removal.requestId()));
  }

  /** Returns the answer to a removal that is committed, or empty for any other proposal. */
  Optional<InstanceEffect> committed(ReplicationEffect.ProposalCommitted committed) {
    return Optional.ofNullable(removalByProposal.remove(committed.proposalId()))
        .map(removal -> removal.answer(new CommandResult.Accepted(committed.index())));
  }

  /** Returns the answer to a removal that the log refused, or empty for any other proposal. */
  Optional<InstanceEffect> rejected(ReplicationEffect.ProposalRejected rejected) {
    return Optional.ofNullable(removalByProposal.remove(rejected.proposalId()))
        .map(removal -> removal.answer(failed(rejected.failure())));
  }

  /** Forgets what was asked of the leader that this member no longer is. */
  void clear() {
    removalByProposal.clear();
    joiningNanos.clear();
  }

  /**
   * Checks a removal: the voters that stay and answer must make a quorum of those that stay.
   *
   * @param instance the instance to remove
   * @param group the present group
   * @return why the removal is refused, or empty when it may be tried
   */
  static Optional<CommandResult> refusal(InstanceId instance, List<MemberProgress> group) {
    List<MemberProgress> stay =
        group.stream().filter(m -> m.voter() && !m.member().instance().equals(instance)).toList();
    if (group.stream().noneMatch(m -> m.member().instance().equals(instance))) {
      return rejected(ErrorKind.NOT_FOUND, instance + " is not a member of the control group");
    }
    if (stay.isEmpty()) {
      return rejected(
          ErrorKind.MEMBERSHIP_REFUSED,
          instance + " is the last voter; let another control member join first");
    }
    int quorum = stay.size() / 2 + 1;
    List<String> silent =
        stay.stream().filter(m -> !m.heard()).map(m -> m.member().instance().value()).toList();
    if (stay.size() - silent.size() >= quorum) {
      return Optional.empty();
    }
    return rejected(
        ErrorKind.MEMBERSHIP_REFUSED,
        "without %s a quorum needs %d of %d voters, but %s do not answer; restart or remove these first"
            .formatted(instance, quorum, stay.size(), String.join(", ", silent)));
  }

  private static CommandResult failed(ProposalFailure failure) {
    return failure == ProposalFailure.OUTCOME_UNKNOWN
        ? new CommandResult.Rejected(
            ErrorKind.CHANGE_OUTCOME_UNKNOWN, "leadership was lost; see 'coltsfootwheel members'")
        : new CommandResult.Rejected(
            ErrorKind.MEMBERSHIP_REFUSED,
            failure == ProposalFailure.CHANGE_IN_PROGRESS
                ? "another change of the group is not committed yet; try again in a second"
                : "the leader refused the change (" + failure + "); try again in a second");
  }

  private static Optional<CommandResult> rejected(ErrorKind kind, String detail) {
    return Optional.of(new CommandResult.Rejected(kind, detail));
  }

  private static boolean isSameInstance(MemberProgress one, MemberId other) {
    return one.member().instance().equals(other.instance());
  }
}
