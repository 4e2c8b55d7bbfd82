package io.coltsfootwheel.consensus;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Membership changes by the leader: changes that the driver requests, and the repair of members
 * whose disk was replaced.
 */
final class Membership {
  private final MemberCore core;
  private final LeaderState leader;
  private final long startNanos;
  private final Map<MemberId, Long> lastContactNanos = new LinkedHashMap<>();

  Membership(MemberCore core, LeaderState leader) {
    this.core = core;
    this.leader = leader;
    startNanos = core.now();
  }

  void change(ReplicationEvent.ChangeMembership event) {
    Optional<ProposalFailure> failure = failureOf(event);
    if (failure.isPresent()) {
      leader.reject(event.proposalId(), failure.get());
      return;
    }
    GroupConfiguration current = leader.configuration();
    GroupConfiguration next =
        switch (event.change()) {
          case ADD_LEARNER -> current.withLearner(event.member());
          case PROMOTE -> current.withPromoted(event.member());
          case REMOVE -> current.without(event.member());
        };
    leader.changeConfiguration(next, Optional.of(event.proposalId()));
  }

  private Optional<ProposalFailure> failureOf(ReplicationEvent.ChangeMembership event) {
    if (isChangeInProgress()) {
      return Optional.of(ProposalFailure.CHANGE_IN_PROGRESS);
    }
    if (!isApplicable(event)) {
      return Optional.of(ProposalFailure.INVALID_CHANGE);
    }
    if (event.change() != MembershipChange.PROMOTE) {
      return Optional.empty();
    }
    if (!toleratesLossOfPromotedMember(leader.configuration().withPromoted(event.member()))) {
      return Optional.of(ProposalFailure.VOTERS_SILENT);
    }
    return hasAllCommittedEntries(event.member())
        ? Optional.empty()
        : Optional.of(ProposalFailure.LEARNER_BEHIND);
  }

  private boolean isChangeInProgress() {
    return core.log.configurationIndex() > core.commitIndex();
  }

  private boolean isApplicable(ReplicationEvent.ChangeMembership event) {
    GroupConfiguration current = leader.configuration();
    MemberId member = event.member();
    boolean isLastVoter = current.voters().size() == 1 && current.hasVoter(member);
    return switch (event.change()) {
      case ADD_LEARNER -> !current.hasMember(member);
      // Two voters of one instance would be lost together.
      case PROMOTE ->
          current.learners().contains(member) && current.voterOf(member.instance()).isEmpty();
      case REMOVE -> current.hasMember(member) && !isLastVoter;
    };
  }

  private boolean hasAllCommittedEntries(MemberId learner) {
    return leader
        .progressOf(learner)
        .filter(FollowerProgress::hasResponded)
        .filter(p -> p.hasContactWithin(core.now(), core.settings.electionMinNanos()))
        .filter(p -> p.matchIndex() >= core.commitIndex())
        .isPresent();
  }

  /** Records when a disk identity last made contact, whether or not it is a member. */
  void recordSender(MemberId from) {
    leader.recordSender(from);
    if (!from.instance().equals(core.self().instance())) {
      lastContactNanos.put(from, core.now());
    }
  }

  /** Takes the next step of a repair: replaces the old identity, then promotes the learner. */
  void repair() {
    if (!core.settings.repairsReplacedDisks() || !leader.isReady() || isChangeInProgress()) {
      return;
    }
    lastContactNanos
        .keySet()
        .removeIf(m -> !leader.configuration().hasMember(m) && isUnresponsive(m));
    replaceUnresponsive()
        .or(this::promoteReplacement)
        .ifPresent(next -> leader.changeConfiguration(next, Optional.empty()));
  }

  private boolean isResponsive(MemberId member) {
    return member.equals(core.self())
        || core.now() - lastContactNanos.getOrDefault(member, startNanos)
            < core.settings.electionMinNanos();
  }

  /**
   * Tells whether a disk identity has made no contact for twice the maximum election timeout. A
   * running member is not out of contact for so long, even when some heartbeats are lost. A delayed
   * message of an old identity therefore does not displace the current one.
   */
  private boolean isUnresponsive(MemberId member) {
    return !member.equals(core.self())
        && core.now() - lastContactNanos.getOrDefault(member, startNanos)
            >= 2 * core.settings.electionMaxNanos();
  }

  /**
   * Replaces an unresponsive identity whose instance responds under another one. The vote and
   * entries of a replaced disk cannot come back, so the old voter is removed before the learner is
   * promoted. In the opposite order, loss of the new disk between promotion and removal would leave
   * a group of three with two lost voters of four, and no quorum.
   */
  private Optional<GroupConfiguration> replaceUnresponsive() {
    GroupConfiguration current = leader.configuration();
    return current.members().stream()
        .filter(this::isUnresponsive)
        .flatMap(m -> replacementOf(m, current).map(r -> current.withReplaced(m, r)).stream())
        .findFirst();
  }

  /**
   * Finds the current identity of an instance. An identity that is not yet a member may replace a
   * voter, or a learner that awaits promotion, but no other learner.
   */
  private Optional<MemberId> replacementOf(MemberId replaced, GroupConfiguration current) {
    boolean mayUseNonMember =
        current.hasVoter(replaced) || current.awaitsPromotion(replaced.instance());
    return Stream.concat(current.members().stream(), lastContactNanos.keySet().stream())
        .filter(m -> !m.equals(replaced) && isSameInstance(m, replaced) && isResponsive(m))
        .filter(m -> mayUseNonMember || current.hasMember(m))
        .findFirst();
  }

  private Optional<GroupConfiguration> promoteReplacement() {
    GroupConfiguration current = leader.configuration();
    return current.learners().stream()
        .filter(m -> current.awaitsPromotion(m.instance()))
        .filter(this::hasAllCommittedEntries)
        .map(current::withPromoted)
        .filter(this::toleratesLossOfPromotedMember)
        .findFirst();
  }

  /**
   * Tells whether the responsive voters reach the quorum of the next configuration without the
   * promoted learner, which may be lost while another voter is already unresponsive. This matters
   * for an odd number of voters, where a promotion raises the quorum. A single voter can never meet
   * the condition and is exempt, since the group could not grow otherwise.
   */
  private boolean toleratesLossOfPromotedMember(GroupConfiguration next) {
    return leader.configuration().voters().size() == 1
        || leader.countResponsiveVoters() >= next.quorum();
  }

  private static boolean isSameInstance(MemberId one, MemberId other) {
    return one.instance().equals(other.instance());
  }
}
