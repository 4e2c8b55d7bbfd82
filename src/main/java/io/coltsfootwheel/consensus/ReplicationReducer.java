package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.util.List;
import java.util.Optional;

/**
 * Deterministic state machine of one member of the replication group: maps each event to effects,
 * without I/O. See docs/design.md, section 6.
 *
 * <p>The driver executes the effects in order, and reports the sync of each persist effect with
 * {@link ReplicationEvent.Persisted}. Votes, acknowledgements and other messages that depend on
 * persisted state are emitted only after that. The first event after a restart emits the stored
 * snapshot as {@link ReplicationEffect.InstallSnapshot}.
 *
 * <p>Usage: {@code reducer.apply(new ReplicationEvent.Tick(nowNanos)).forEach(driver::execute)}.
 */
public final class ReplicationReducer {
  private final MemberCore core;
  private final Election election;
  private final LogFollower follower;
  private final Bootstrap bootstrap;
  private Optional<LeaderState> leader = Optional.empty();
  private Optional<Membership> membership = Optional.empty();
  private ReplicationEffect.RoleChanged reportedRole;

  /**
   * Restores a member from its data folder.
   *
   * @param settings settings of the member
   * @param durable content of its data folder
   * @param nowNanos time of the start
   */
  public ReplicationReducer(ReplicationSettings settings, DurableState durable, long nowNanos) {
    core = new MemberCore(settings, durable, nowNanos);
    election = new Election(core);
    follower = new LogFollower(core);
    bootstrap = new Bootstrap(core);
    reportedRole = currentRole();
  }

  /**
   * Processes an event.
   *
   * @param event the event
   * @return the effects that the driver executes, in order
   * @throws ColtsfootwheelException with {@link ErrorKind#INVARIANT_VIOLATED} when a committed
   *     entry would be truncated or two members lead in one term; the member must stop
   */
  public List<ReplicationEffect> apply(ReplicationEvent event) {
    core.setNow(event.nowNanos());
    if (core.mode() == MemberCore.Mode.FAILED) {
      reject(event);
      return core.outbox.drain();
    }
    handle(event);
    advance();
    reportRoleChange();
    return core.outbox.drain();
  }

  /**
   * Returns the latest configuration in the log, which may not be committed yet.
   *
   * @return the configuration, or empty while the member belongs to no group
   */
  public Optional<GroupConfiguration> configuration() {
    return core.log.configuration();
  }

  /**
   * Returns the current term.
   *
   * @return the highest term that this member has seen
   */
  public long term() {
    return core.term();
  }

  /**
   * Returns the highest index that this member knows to be committed.
   *
   * @return the commit index
   */
  public long commitIndex() {
    return core.commitIndex();
  }

  /**
   * Returns the replication progress of all members, if this member leads.
   *
   * @return one element for each member, or an empty list when this member does not lead
   */
  public List<MemberProgress> progress() {
    return leader.map(LeaderState::progress).orElse(List.of());
  }

  private void handle(ReplicationEvent event) {
    if (event instanceof ReplicationEvent.Tick) {
      tick();
    } else if (event instanceof ReplicationEvent.MessageReceived received) {
      receiveFromOther(received.from(), received.message());
    } else if (event instanceof ReplicationEvent.Persisted persisted) {
      core.outbox.onPersisted(persisted.sequence()).forEach(m -> receive(core.self(), m));
    } else if (event instanceof ReplicationEvent.PersistFailed) {
      fail();
    } else if (event instanceof ReplicationEvent.SnapshotTaken taken) {
      core.storeSnapshot(taken.index(), taken.bytes());
    } else {
      readyLeader().ifPresentOrElse(state -> handleRequest(state, event), () -> reject(event));
    }
  }

  private Optional<LeaderState> readyLeader() {
    return leader.filter(LeaderState::isReady);
  }

  private void handleRequest(LeaderState state, ReplicationEvent event) {
    if (event instanceof ReplicationEvent.Propose propose) {
      state.propose(propose.proposalId(), propose.command());
    } else if (event instanceof ReplicationEvent.ConfirmLeadership confirm) {
      state.confirmLeadership(confirm.requestId());
    } else if (event instanceof ReplicationEvent.ChangeMembership change) {
      membership.ifPresent(m -> m.change(change));
    }
  }

  private void reject(ReplicationEvent event) {
    if (event instanceof ReplicationEvent.Propose propose) {
      rejectProposal(propose.proposalId());
    } else if (event instanceof ReplicationEvent.ChangeMembership change) {
      rejectProposal(change.proposalId());
    } else if (event instanceof ReplicationEvent.ConfirmLeadership confirm) {
      core.outbox.emit(new ReplicationEffect.LeadershipNotConfirmed(confirm.requestId()));
    }
  }

  private void rejectProposal(long proposalId) {
    core.outbox.emit(
        new ReplicationEffect.ProposalRejected(
            proposalId, ProposalFailure.NOT_LEADER, core.leader()));
  }

  private void tick() {
    if (leader.isPresent()) {
      if (!leader.get().tick()) {
        becomeFollower(core.term());
      }
    } else {
      bootstrap.tick();
      election.tick();
    }
  }

  private void receiveFromOther(MemberId from, ReplicationMessage message) {
    if (!from.equals(core.self())) {
      receive(from, message);
    }
  }

  private void receive(MemberId from, ReplicationMessage message) {
    membership.ifPresent(m -> m.recordSender(from));
    if (message instanceof ReplicationMessage.PreVoteRequest request) {
      election.onPreVoteRequest(from, request);
    } else if (message instanceof ReplicationMessage.PreVoteResponse response) {
      election.onPreVoteResponse(from, response);
    } else if (message instanceof ReplicationMessage.VoteRequest request) {
      receiveVoteRequest(from, request);
    } else if (message instanceof ReplicationMessage.VoteResponse response) {
      receiveVoteResponse(from, response);
    } else if (message instanceof ReplicationMessage.Discover request) {
      bootstrap.onDiscover(from, request);
    } else if (message instanceof ReplicationMessage.DiscoverResponse response) {
      bootstrap.onDiscoverResponse(from, response);
    } else if (message instanceof ReplicationMessage.Bootstrap initial) {
      bootstrap.onBootstrap(initial);
    } else {
      receiveReplication(from, message);
    }
  }

  private void receiveReplication(MemberId from, ReplicationMessage message) {
    if (message instanceof ReplicationMessage.AppendRequest request) {
      if (acceptLeader(from, request.term(), request.round())) {
        follower.onAppend(from, request);
      }
    } else if (message instanceof ReplicationMessage.SnapshotChunk chunk) {
      if (acceptLeader(from, chunk.term(), chunk.round())) {
        follower.onSnapshotChunk(from, chunk);
      }
    } else if (message instanceof ReplicationMessage.AppendResponse response) {
      if (acceptResponse(from, response.term())) {
        leader.ifPresent(l -> l.onAppendResponse(from, response));
      }
    } else if (message instanceof ReplicationMessage.SnapshotChunkResponse response) {
      if (acceptResponse(from, response.term())) {
        leader.ifPresent(l -> l.onChunkResponse(from, response));
      }
    }
  }

  private void receiveVoteRequest(MemberId from, ReplicationMessage.VoteRequest request) {
    boolean isNewerTerm = request.term() > core.term();
    if (core.log.configuration().isEmpty() || isNewerTerm && core.hasRecentLeaderContact()) {
      return;
    }
    if (isNewerTerm) {
      becomeFollower(request.term());
    }
    election.onVoteRequest(from, request);
  }

  private void receiveVoteResponse(MemberId from, ReplicationMessage.VoteResponse response) {
    if (response.term() > core.term() && core.isMember(from)) {
      becomeFollower(response.term());
    } else if (election.onVoteResponse(from, response)) {
      becomeLeader();
    }
  }

  /** Follows the sender of a request of the current or a newer term; rejects an older term. */
  private boolean acceptLeader(MemberId from, long term, long round) {
    if (term < core.term()) {
      core.outbox.sendAfterSync(
          from, new ReplicationMessage.AppendResponse(core.term(), round, false, 0, 0));
      return false;
    }
    if (term == core.term() && leader.isPresent()) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVARIANT_VIOLATED,
          core.self() + " and " + from + " are both leaders in term " + term);
    }
    if (term > core.term() || core.mode() != MemberCore.Mode.FOLLOWER) {
      becomeFollower(term);
    }
    core.recordLeaderContact(from);
    return true;
  }

  /** Accepts responses of members in the current term; a newer term ends the leadership. */
  private boolean acceptResponse(MemberId from, long term) {
    if (!core.isMember(from)) {
      return false;
    }
    if (term > core.term()) {
      becomeFollower(term);
      return false;
    }
    return term == core.term();
  }

  private void becomeLeader() {
    LeaderState state = new LeaderState(core);
    leader = Optional.of(state);
    membership = Optional.of(new Membership(core, state));
    state.start();
  }

  private void becomeFollower(long term) {
    core.setMode(MemberCore.Mode.FOLLOWER, Optional.empty());
    core.adoptTerm(term);
    core.resetElectionTimer();
    stopLeading();
  }

  private void stopLeading() {
    leader.ifPresent(LeaderState::stop);
    leader = Optional.empty();
    membership = Optional.empty();
  }

  private void fail() {
    core.outbox.discard();
    core.setMode(MemberCore.Mode.FAILED, Optional.empty());
    stopLeading();
  }

  private void advance() {
    if (core.mode() == MemberCore.Mode.FAILED) {
      return;
    }
    if (leader.isEmpty()) {
      core.applyCommitted();
      return;
    }
    leader.get().advance();
    membership.ifPresent(Membership::repair);
    if (leader.get().isRemoved()) {
      becomeFollower(core.term());
    }
  }

  private void reportRoleChange() {
    ReplicationEffect.RoleChanged current = currentRole();
    if (!current.equals(reportedRole)) {
      reportedRole = current;
      core.outbox.emit(current);
    }
  }

  private ReplicationEffect.RoleChanged currentRole() {
    return new ReplicationEffect.RoleChanged(role(), core.term(), core.leader());
  }

  private Role role() {
    return switch (core.mode()) {
      case FOLLOWER -> Role.FOLLOWER;
      case PRE_CANDIDATE, CANDIDATE -> Role.CANDIDATE;
      case LEADER -> readyLeader().isPresent() ? Role.LEADER_READY : Role.LEADER_STARTING;
      case FAILED -> Role.FAILED;
    };
  }
}
