package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Membership changes of a leader, on request and as repair of replaced disks. */
final class Membership {
  private record Newcomer(MemberId member, long heardNanos) {}

  private final MemberCore core;
  private final LeaderState leader;
  private final Map<InstanceId, Newcomer> newcomers = new TreeMap<>();

  Membership(MemberCore core, LeaderState leader) {
    this.core = core;
    this.leader = leader;
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

  /** Notes a sender that is not a member, but whose instance has a voter with another disk. */
  void noteSender(MemberId from) {
    Configuration present = leader.configuration();
    boolean replaced =
        !present.hasMember(from)
            && !present.removed().contains(from)
            && !from.instance().equals(core.self().instance())
            && present.voterOf(from.instance()).isPresent();
    if (replaced) {
      newcomers.put(from.instance(), new Newcomer(from, core.now()));
    }
  }

  /** Takes the next step of a repair: add the learner, promote it, or remove the old identity. */
  void repair() {
    if (!core.settings.repairsReplacedDisks() || !leader.isReady() || isChangeInProgress()) {
      return;
    }
    newcomers.values().removeIf(n -> !isFresh(n) || leader.configuration().hasMember(n.member));
    removeReplacedVoter()
        .or(this::promoteReplacement)
        .or(this::admitNewcomer)
        .ifPresent(next -> leader.changeConfiguration(next, Optional.empty()));
  }

  private boolean isFresh(Newcomer newcomer) {
    return core.now() - newcomer.heardNanos < core.settings.electionMaxNanos();
  }

  private Optional<Configuration> removeReplacedVoter() {
    Configuration present = leader.configuration();
    return present.voters().stream()
        .filter(m -> present.voters().stream().filter(o -> isSameInstance(m, o)).count() > 1)
        .findFirst()
        .map(present::without);
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
    return newcomers.values().stream()
        .findFirst()
        .map(
            n ->
                present.learners().stream()
                    .filter(l -> isSameInstance(l, n.member))
                    .findFirst()
                    .map(present::without)
                    .orElseGet(() -> present.withLearner(n.member)));
  }

  private static boolean isSameInstance(MemberId one, MemberId other) {
    return one.instance().equals(other.instance());
  }
}
