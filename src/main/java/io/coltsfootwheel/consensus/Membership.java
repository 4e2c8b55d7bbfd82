package io.coltsfootwheel.consensus;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Membership changes of a leader, on request and as repair of replaced disks. */
final class Membership {
  private final MemberCore core;
  private final LeaderState leader;
  private final long startNanos;
  private final Map<MemberId, Long> heardNanos = new LinkedHashMap<>();

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
    Configuration present = leader.configuration();
    Configuration next =
        switch (event.change()) {
          case ADD_LEARNER -> present.withLearner(event.member());
          case PROMOTE -> present.withPromoted(event.member());
          case REMOVE -> present.without(event.member());
        };
    leader.changeConfiguration(next, Optional.of(event.proposalId()));
  }

  private Optional<ProposalFailure> failureOf(ReplicationEvent.ChangeMembership event) {
    if (isChangeInProgress()) {
      return Optional.of(ProposalFailure.CHANGE_IN_PROGRESS);
    }
    if (!fits(event)) {
      return Optional.of(ProposalFailure.INVALID_CHANGE);
    }
    boolean behind =
        event.change() == MembershipChange.PROMOTE && !holdsEverythingCommitted(event.member());
    return behind ? Optional.of(ProposalFailure.LEARNER_BEHIND) : Optional.empty();
  }

  private boolean isChangeInProgress() {
    return core.log.configurationIndex() > core.commitIndex();
  }

  private boolean fits(ReplicationEvent.ChangeMembership event) {
    Configuration present = leader.configuration();
    MemberId member = event.member();
    boolean lastVoter = present.voters().size() == 1 && present.hasVoter(member);
    return switch (event.change()) {
      case ADD_LEARNER -> !present.hasMember(member);
      case PROMOTE -> present.learners().contains(member);
      case REMOVE -> present.hasMember(member) && !lastVoter;
    };
  }

  private boolean holdsEverythingCommitted(MemberId learner) {
    return leader
        .progressOf(learner)
        .filter(FollowerProgress::hasAnswered)
        .filter(p -> p.isHeardWithin(core.now(), core.settings.electionMinNanos()))
        .filter(p -> p.matchIndex() >= core.commitIndex())
        .isPresent();
  }

  /** Notes which disk identities are in use, including those of senders that are no members. */
  void noteSender(MemberId from) {
    leader.noteSender(from);
    if (!from.instance().equals(core.self().instance())) {
      heardNanos.put(from, core.now());
    }
  }

  /** Takes the next step of a repair: add the learner, promote it, or remove the old identity. */
  void repair() {
    if (!core.settings.repairsReplacedDisks() || !leader.isReady() || isChangeInProgress()) {
      return;
    }
    heardNanos.keySet().removeIf(m -> !leader.configuration().hasMember(m) && isSilent(m));
    removeReplaced()
        .or(this::promoteReplacement)
        .or(this::admitNewcomer)
        .ifPresent(next -> leader.changeConfiguration(next, Optional.empty()));
  }

  private boolean isHeard(MemberId member) {
    return member.equals(core.self())
        || core.now() - heardNanos.getOrDefault(member, startNanos)
            < core.settings.electionMinNanos();
  }

  /**
   * A single delayed message must not make an old identity look like the present one, so the other
   * identity must have been silent for longer than a heartbeat can be missing.
   */
  private boolean isSilent(MemberId member) {
    return !member.equals(core.self())
        && core.now() - heardNanos.getOrDefault(member, startNanos)
            >= 2 * core.settings.electionMaxNanos();
  }

  /** Removes an old identity; that of a voter stays until the new one is a voter, too. */
  private Optional<Configuration> removeReplaced() {
    Configuration present = leader.configuration();
    return present.members().stream()
        .filter(this::isSilent)
        .filter(m -> present.members().stream().anyMatch(o -> replaces(o, m, present)))
        .findFirst()
        .map(present::without);
  }

  private boolean replaces(MemberId other, MemberId member, Configuration present) {
    return !other.equals(member)
        && isSameInstance(other, member)
        && isHeard(other)
        && (present.hasVoter(other) || !present.hasVoter(member));
  }

  private Optional<Configuration> promoteReplacement() {
    Configuration present = leader.configuration();
    return present.learners().stream()
        .filter(m -> present.voterOf(m.instance()).isPresent())
        .filter(this::holdsEverythingCommitted)
        .map(present::withPromoted)
        // The lost voter still counts until its removal, so a second silent voter could block it.
        .filter(leader::hasQuorumContact)
        .findFirst();
  }

  private Optional<Configuration> admitNewcomer() {
    Configuration present = leader.configuration();
    return heardNanos.keySet().stream()
        .filter(m -> !present.hasMember(m) && isHeard(m))
        .filter(m -> present.voterOf(m.instance()).isPresent())
        .filter(m -> present.members().stream().allMatch(o -> isOtherOrSilent(m, o)))
        .findFirst()
        .map(present::withLearner);
  }

  private boolean isOtherOrSilent(MemberId newcomer, MemberId member) {
    return !isSameInstance(newcomer, member) || isSilent(member);
  }

  private static boolean isSameInstance(MemberId one, MemberId other) {
    return one.instance().equals(other.instance());
  }
}
