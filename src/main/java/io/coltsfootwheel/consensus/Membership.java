package io.coltsfootwheel.consensus;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

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
    if (event.change() != MembershipChange.PROMOTE) {
      return Optional.empty();
    }
    if (!toleratesLossOfPromoted(leader.configuration().withPromoted(event.member()))) {
      return Optional.of(ProposalFailure.VOTERS_SILENT);
    }
    return holdsEverythingCommitted(event.member())
        ? Optional.empty()
        : Optional.of(ProposalFailure.LEARNER_BEHIND);
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
      // Two voters of one instance would be lost together.
      case PROMOTE ->
          present.learners().contains(member) && present.voterOf(member.instance()).isEmpty();
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

  /** Takes the next step of a repair: replace the old identity, then promote the learner. */
  void repair() {
    if (!core.settings.repairsReplacedDisks() || !leader.isReady() || isChangeInProgress()) {
      return;
    }
    heardNanos.keySet().removeIf(m -> !leader.configuration().hasMember(m) && isSilent(m));
    replaceSilent()
        .or(this::promoteReplacement)
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

  /**
   * Replaces an identity whose instance is heard under another one. The promises of a replaced disk
   * are gone for good, so the old voter leaves before the learner is promoted: if the new disk were
   * lost between a promotion and the removal, two lost voters of four would stall a group of three.
   */
  private Optional<Configuration> replaceSilent() {
    Configuration present = leader.configuration();
    return present.members().stream()
        .filter(this::isSilent)
        .flatMap(m -> replacementOf(m, present).map(r -> present.withReplaced(m, r)).stream())
        .findFirst();
  }

  /** Finds the present identity; a learner outside a vacancy is replaced by members only. */
  private Optional<MemberId> replacementOf(MemberId old, Configuration present) {
    boolean admits = present.hasVoter(old) || present.hasVacancy(old.instance());
    return Stream.concat(present.members().stream(), heardNanos.keySet().stream())
        .filter(m -> !m.equals(old) && isSameInstance(m, old) && isHeard(m))
        .filter(m -> admits || present.hasMember(m))
        .findFirst();
  }

  private Optional<Configuration> promoteReplacement() {
    Configuration present = leader.configuration();
    return present.learners().stream()
        .filter(m -> present.hasVacancy(m.instance()))
        .filter(this::holdsEverythingCommitted)
        .map(present::withPromoted)
        .filter(this::toleratesLossOfPromoted)
        .findFirst();
  }

  /**
   * A promotion from an odd number of voters raises the quorum. The present voters must reach it
   * alone, because the learner may be lost together with a voter that is silent already. A single
   * voter cannot, but has no other way to a larger group.
   */
  private boolean toleratesLossOfPromoted(Configuration next) {
    return leader.configuration().voters().size() == 1 || leader.heardVoters() >= next.quorum();
  }

  private static boolean isSameInstance(MemberId one, MemberId other) {
    return one.instance().equals(other.instance());
  }
}
