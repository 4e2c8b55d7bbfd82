package io.coltsfootwheel.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Pre-votes and votes. */
final class Election {
  private final MemberCore core;
  private final Set<MemberId> granted = new HashSet<>();

  Election(MemberCore core) {
    this.core = core;
  }

  /** Starts a pre-vote when no leader was heard for the election timeout. */
  void tick() {
    if (core.isElectionTimerExpired() && core.isEligible()) {
      startPreVote();
    }
  }

  private void startPreVote() {
    core.setMode(MemberCore.Mode.PRE_CANDIDATE, Optional.empty());
    core.resetElectionTimer();
    granted.clear();
    granted.add(core.self());
    ReplicationMessage request =
        new ReplicationMessage.PreVoteRequest(
            core.term() + 1, core.log.lastIndex(), core.log.lastTerm());
    core.otherVoters().forEach(m -> core.outbox.sendNow(m, request));
    resendInitialConfiguration();
    if (hasQuorum()) {
      startElection();
    }
  }

  /**
   * Configures voters that missed the bootstrap, because they must vote before there is a leader. A
   * voter without any entry can only be an initial one, and it has promised nothing.
   */
  private void resendInitialConfiguration() {
    core.initialConfiguration()
        .or(core.log::configuration)
        .map(ReplicationMessage.Bootstrap::new)
        .ifPresent(b -> core.otherVoters().forEach(m -> core.outbox.sendDurably(m, b)));
  }

  private void startElection() {
    core.setMode(MemberCore.Mode.CANDIDATE, Optional.empty());
    core.promise(core.term() + 1, Optional.of(core.self()));
    core.resetElectionTimer();
    granted.clear();
    ReplicationMessage request =
        new ReplicationMessage.VoteRequest(core.term(), core.log.lastIndex(), core.log.lastTerm());
    core.otherVoters().forEach(m -> core.outbox.sendDurably(m, request));
    core.outbox.sendDurably(core.self(), new ReplicationMessage.VoteResponse(core.term(), true));
  }

  void onPreVoteRequest(MemberId from, ReplicationMessage.PreVoteRequest request) {
    if (core.log.configuration().isEmpty()) {
      return;
    }
    boolean grants =
        request.term() > core.term()
            && !core.hasLiveLeader()
            && core.isUpToDate(request.lastIndex(), request.lastTerm());
    core.outbox.sendDurably(
        from, new ReplicationMessage.PreVoteResponse(request.term(), grants, core.term()));
  }

  void onPreVoteResponse(MemberId from, ReplicationMessage.PreVoteResponse response) {
    if (!core.isVoter(from) || core.mode() != MemberCore.Mode.PRE_CANDIDATE) {
      return;
    }
    if (response.currentTerm() > core.term()) {
      core.setMode(MemberCore.Mode.FOLLOWER, Optional.empty());
      core.adoptTerm(response.currentTerm());
    } else if (response.granted() && response.term() == core.term() + 1) {
      granted.add(from);
      if (hasQuorum()) {
        startElection();
      }
    }
  }

  /** Handles a request; the caller has made this member a follower when the term is newer. */
  void onVoteRequest(MemberId from, ReplicationMessage.VoteRequest request) {
    boolean grants =
        request.term() == core.term()
            && core.vote().filter(v -> !v.equals(from)).isEmpty()
            && core.isUpToDate(request.lastIndex(), request.lastTerm());
    if (grants) {
      core.setMode(MemberCore.Mode.FOLLOWER, core.leader());
      core.promise(core.term(), Optional.of(from));
      core.resetElectionTimer();
    }
    core.outbox.sendDurably(from, new ReplicationMessage.VoteResponse(core.term(), grants));
  }

  /** Returns true when the response completes a quorum of votes for this member. */
  boolean onVoteResponse(MemberId from, ReplicationMessage.VoteResponse response) {
    boolean counts =
        core.mode() == MemberCore.Mode.CANDIDATE
            && response.granted()
            && response.term() == core.term()
            && core.isVoter(from);
    return counts && granted.add(from) && hasQuorum();
  }

  private boolean hasQuorum() {
    return core.log.configuration().stream()
        .anyMatch(c -> c.voters().stream().filter(granted::contains).count() >= c.quorum());
  }
}
