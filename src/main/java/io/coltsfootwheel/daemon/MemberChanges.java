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
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Membership changes that the leader proposes: it adds configured control members that belong to no
 * group, and removes members on request of an operator after a check. Members whose disk was
 * replaced are repaired by the replicated log itself.
 */
final class MemberChanges {
  private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long JOIN_REQUEST_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * In the order of the settings, because the order of effects must not differ between processes.
   */
  private final Set<InstanceId> controlMembers;

  private final Map<MemberId, Long> joinRequestNanos = new LinkedHashMap<>();
  private final Map<Long, Removal> removalByProposal = new HashMap<>();
  private Optional<Long> nextStepNanos = Optional.empty();
  private Optional<Long> nextJoinNanos = Optional.empty();

  /** One membership change that the log commits as one entry. */
  record Step(MembershipChange change, MemberId member) {}

  /** Removal that an operator requested at an instance. */
  private record Removal(InstanceId from, long requestId) {
    private InstanceEffect answer(CommandResult result) {
      return new InstanceEffect.SendMessage(
          from, new ControlMessage.RemovalAnswer(requestId, result));
    }
  }

  MemberChanges(List<InstanceId> controlMembers) {
    this.controlMembers = new LinkedHashSet<>(controlMembers);
  }

  /**
   * Records the request of an instance without a group to join.
   *
   * @param nowNanos monotonic time
   * @param member the instance with its disk identity
   */
  void recordJoinRequest(long nowNanos, MemberId member) {
    if (controlMembers.contains(member.instance())) {
      joinRequestNanos.put(member, nowNanos);
    }
  }

  /**
   * Returns the next step that adds a member. A step that the log rejects is proposed again.
   *
   * @param nowNanos monotonic time
   * @param group the current group
   * @return the step, or empty when none is due
   */
  Optional<Step> nextStep(long nowNanos, List<MemberProgress> group) {
    if (isBeforeDue(nowNanos, nextStepNanos)) {
      return Optional.empty();
    }
    nextStepNanos = Optional.of(nowNanos + STEP_INTERVAL_NANOS);
    joinRequestNanos.values().removeIf(heard -> nowNanos - heard > JOIN_REQUEST_VALID_NANOS);
    return promotion(group).or(() -> admission(group));
  }

  private Optional<Step> promotion(List<MemberProgress> group) {
    return group.stream()
        .filter(m -> !m.voter() && m.heard())
        .filter(
            m ->
                group.stream()
                    .noneMatch(other -> other.voter() && isSameInstance(other, m.member())))
        .map(m -> new Step(MembershipChange.PROMOTE, m.member()))
        .findFirst();
  }

  private Optional<Step> admission(List<MemberProgress> group) {
    return joinRequestNanos.keySet().stream()
        .filter(joiner -> group.stream().noneMatch(other -> isSameInstance(other, joiner)))
        .map(joiner -> new Step(MembershipChange.ADD_LEARNER, joiner))
        .findFirst();
  }

  /**
   * Returns the requests to join of an instance that belongs to no group, when they are due.
   *
   * @param nowNanos monotonic time
   * @param self this instance with its disk identity
   * @return one request to each other control member
   */
  List<InstanceEffect> joinRequestsIfDue(long nowNanos, MemberId self) {
    if (isBeforeDue(nowNanos, nextJoinNanos)) {
      return List.of();
    }
    nextJoinNanos = Optional.of(nowNanos + STEP_INTERVAL_NANOS);
    ControlMessage join = new ControlMessage.Join(self.diskId());
    return controlMembers.stream()
        .filter(m -> !m.equals(self.instance()))
        .map(m -> (InstanceEffect) new InstanceEffect.SendMessage(m, join))
        .toList();
  }

  private static boolean isBeforeDue(long nowNanos, Optional<Long> dueNanos) {
    return dueNanos.filter(due -> nowNanos - due < 0).isPresent();
  }

  /** Returns the answer to a removal that must be refused, or empty when it may be proposed. */
  Optional<InstanceEffect> refuseRemoval(
      InstanceId from, ControlMessage.RemoveMember removal, List<MemberProgress> group) {
    return refusal(removal.instance(), group)
        .map(result -> new Removal(from, removal.requestId()).answer(result));
  }

  /**
   * Returns the steps that remove an instance with each disk identity under which it is a member.
   */
  static List<Step> removals(InstanceId instance, List<MemberProgress> group) {
    return group.stream()
        .filter(m -> m.member().instance().equals(instance))
        .map(m -> new Step(MembershipChange.REMOVE, m.member()))
        .toList();
  }

  /** Records the origin of a removal by the number of its proposal. */
  void recordRemoval(long proposalId, InstanceId from, ControlMessage.RemoveMember removal) {
    removalByProposal.put(proposalId, new Removal(from, removal.requestId()));
  }

  /** Returns the answer to a removal that is committed, or empty for any other proposal. */
  Optional<InstanceEffect> removalCommitted(ReplicationEffect.ProposalCommitted committed) {
    return Optional.ofNullable(removalByProposal.remove(committed.proposalId()))
        .map(removal -> removal.answer(new CommandResult.Accepted(committed.index())));
  }

  /** Returns the answer to a removal that the log rejected, or empty for any other proposal. */
  Optional<InstanceEffect> removalRejected(ReplicationEffect.ProposalRejected rejected) {
    return Optional.ofNullable(removalByProposal.remove(rejected.proposalId()))
        .map(removal -> removal.answer(failureResult(rejected.failure())));
  }

  /** Removes all requests when this member loses the leadership. */
  void clear() {
    removalByProposal.clear();
    joinRequestNanos.clear();
  }

  /**
   * Checks a removal: among the voters that remain, those that respond must be a quorum.
   *
   * @param instance the instance to remove
   * @param group the current group
   * @return why the removal is refused, or empty when it may be proposed
   */
  static Optional<CommandResult> refusal(InstanceId instance, List<MemberProgress> group) {
    List<MemberProgress> remainingVoters =
        group.stream().filter(m -> m.voter() && !m.member().instance().equals(instance)).toList();
    if (group.stream().noneMatch(m -> m.member().instance().equals(instance))) {
      return rejected(ErrorKind.NOT_FOUND, instance + " is not a member of the control group");
    }
    if (remainingVoters.isEmpty()) {
      return rejected(
          ErrorKind.MEMBERSHIP_REFUSED,
          instance + " is the last voter; let another control member join first");
    }
    int quorum = remainingVoters.size() / 2 + 1;
    List<String> unresponsive =
        remainingVoters.stream()
            .filter(m -> !m.heard())
            .map(m -> m.member().instance().value())
            .toList();
    if (remainingVoters.size() - unresponsive.size() >= quorum) {
      return Optional.empty();
    }
    return rejected(
        ErrorKind.MEMBERSHIP_REFUSED,
        "without %s a quorum needs %d of %d voters, but %s do not answer; restart or remove these first"
            .formatted(instance, quorum, remainingVoters.size(), String.join(", ", unresponsive)));
  }

  private static CommandResult failureResult(ProposalFailure failure) {
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
