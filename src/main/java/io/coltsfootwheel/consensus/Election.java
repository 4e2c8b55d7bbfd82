package io.coltsfootwheel.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Election of a leader: pre-votes, which change no terms or votes, then votes. */
final class Election {
  private final MemberCore core;
  private final Set<MemberId> grantingVoters = new HashSet<>();

  Election(MemberCore core) {
    this.core = core;
  }

  /** Starts a pre-vote when no leader has made contact for the election timeout. */
  void tick() {
    if (core.isElectionTimerExpired() && core.canBecomeCandidate()) {
      startPreVote();
    }
  }

  private void startPreVote() {
    core.setMode(MemberCore.Mode.PRE_CANDIDATE, Optional.empty());
    core.resetElectionTimer();
    grantingVoters.clear();
    grantingVoters.add(core.self());
    ReplicationMessage request =
        new ReplicationMessage.PreVoteRequest(
            core.term() + 1, core.log.lastIndex(), core.log.lastTerm());
    core.otherVoters().forEach(m -> core.outbox.sendImmediately(m, request));
    resendInitialConfiguration();
    if (hasQuorum()) {
      startElection();
    }
  }

  /**
   * Sends the initial configuration again to voters that have not received it, because they must
   * vote before there is a leader. Only an initial voter can lack all entries, and without a
   * configuration it cannot have voted, so the message is safe to accept.
   */
  private void resendInitialConfiguration() {
    core.initialConfiguration()
        .or(core.log::configuration)
        .map(ReplicationMessage.Bootstrap::new)
        .ifPresent(b -> core.otherVoters().forEach(m -> core.outbox.sendAfterSync(m, b)));
  }

  private void startElection() {
    core.setMode(MemberCore.Mode.CANDIDATE, Optional.empty());
    core.setTermAndVote(core.term() + 1, Optional.of(core.self()));
    core.resetElectionTimer();
    grantingVoters.clear();
    ReplicationMessage request =
        new ReplicationMessage.VoteRequest(core.term(), core.log.lastIndex(), core.log.lastTerm());
    core.otherVoters().forEach(m -> core.outbox.sendAfterSync(m, request));
    core.outbox.sendAfterSync(core.self(), new ReplicationMessage.VoteResponse(core.term(), true));
  }

  void onPreVoteRequest(MemberId from, ReplicationMessage.PreVoteRequest request) {
    if (core.log.configuration().isEmpty()) {
      // The disk of this member may have been replaced, and an earlier vote lost with it.
      return;
    }
    boolean isGranted =
        request.term() > core.term()
            && !core.hasRecentLeaderContact()
            && core.isLogUpToDate(request.lastIndex(), request.lastTerm());
    core.outbox.sendAfterSync(
        from, new ReplicationMessage.PreVoteResponse(request.term(), isGranted, core.term()));
  }

  void onPreVoteResponse(MemberId from, ReplicationMessage.PreVoteResponse response) {
    if (!core.isVoter(from) || core.mode() != MemberCore.Mode.PRE_CANDIDATE) {
      return;
    }
    if (response.currentTerm() > core.term()) {
      core.setMode(MemberCore.Mode.FOLLOWER, Optional.empty());
      core.adoptTerm(response.currentTerm());
    } else if (response.granted() && response.term() == core.term() + 1) {
      grantingVoters.add(from);
      if (hasQuorum()) {
        startElection();
      }
    }
  }

  /** Handles a request; for a newer term, the caller has already made this member a follower. */
  void onVoteRequest(MemberId from, ReplicationMessage.VoteRequest request) {
    boolean isGranted =
        request.term() == core.term()
            && core.vote().filter(v -> !v.equals(from)).isEmpty()
            && core.isLogUpToDate(request.lastIndex(), request.lastTerm());
    if (isGranted) {
      core.setMode(MemberCore.Mode.FOLLOWER, core.leader());
      core.setTermAndVote(core.term(), Optional.of(from));
      core.resetElectionTimer();
    }
    core.outbox.sendAfterSync(from, new ReplicationMessage.VoteResponse(core.term(), isGranted));
  }

  /** Returns true when the response completes a quorum of votes for this member. */
  boolean onVoteResponse(MemberId from, ReplicationMessage.VoteResponse response) {
    boolean isValid =
        core.mode() == MemberCore.Mode.CANDIDATE
            && response.granted()
            && response.term() == core.term()
            && core.isVoter(from);
    return isValid && grantingVoters.add(from) && hasQuorum();
  }

  private boolean hasQuorum() {
    return core.log.configuration().stream()
        .anyMatch(c -> c.voters().stream().filter(grantingVoters::contains).count() >= c.quorum());
  }
}
