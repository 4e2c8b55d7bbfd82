package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/** State of a leader during one term: replication, commits and heartbeat rounds. */
final class LeaderState {
  /** Full batches that may be sent to a member beyond its last acknowledged entry. */
  private static final int MAX_BATCHES_IN_FLIGHT = 4;

  /**
   * Size of the uncommitted entries at which further proposals are rejected; the first one may be
   * larger.
   */
  private static final long MAX_UNCOMMITTED_BYTES = 8L * 1024 * 1024;

  private final MemberCore core;
  private final Map<MemberId, FollowerProgress> progress = new HashMap<>();
  private final Map<InstanceId, MemberId> currentIdentity = new HashMap<>();
  private final TreeMap<Long, Long> proposalIdByIndex = new TreeMap<>();
  private final LeadershipRounds rounds = new LeadershipRounds();
  private long noOpIndex;
  private long lastRoundNanos;

  LeaderState(MemberCore core) {
    this.core = core;
  }

  void start() {
    GroupConfiguration configuration = configuration();
    core.setMode(MemberCore.Mode.LEADER, Optional.of(core.self()));
    noOpIndex = appendEntry(EntryKind.NO_OP, ControlCodec.encode(configuration));
    startRound();
  }

  GroupConfiguration configuration() {
    return core.log.configuration().orElseThrow();
  }

  boolean isReady() {
    return core.appliedIndex() >= noOpIndex;
  }

  Optional<FollowerProgress> progressOf(MemberId member) {
    return Optional.ofNullable(progress.get(member));
  }

  private long appendEntry(EntryKind kind, byte[] bytes) {
    long index = core.log.lastIndex() + 1;
    core.append(List.of(new LogEntry(index, core.term(), kind, bytes)), 0);
    return index;
  }

  void propose(long proposalId, byte[] command) {
    long lastIndex = core.log.lastIndex();
    if (lastIndex - core.commitIndex() >= core.settings.maxUncommitted()
        || core.log.reachesBytes(core.commitIndex(), lastIndex, MAX_UNCOMMITTED_BYTES)) {
      reject(proposalId, ProposalFailure.OVERLOADED);
    } else {
      proposalIdByIndex.put(appendEntry(EntryKind.COMMAND, command), proposalId);
    }
  }

  void changeConfiguration(GroupConfiguration next, Optional<Long> proposalId) {
    long index = appendEntry(EntryKind.CONFIGURATION, ControlCodec.encode(next));
    proposalId.ifPresent(id -> proposalIdByIndex.put(index, id));
  }

  void reject(long proposalId, ProposalFailure failure) {
    core.outbox.emit(new ReplicationEffect.ProposalRejected(proposalId, failure, core.leader()));
  }

  void confirmLeadership(long requestId) {
    if (rounds.add(requestId)) {
      startRound();
    }
  }

  /** Sends heartbeats when due; returns false when no quorum of voters has responded recently. */
  boolean tick() {
    if (!hasQuorumContact()) {
      return false;
    }
    if (core.now() - lastRoundNanos >= core.settings.heartbeatNanos()) {
      startRound();
    }
    return true;
  }

  private boolean hasQuorumContact() {
    return countResponsiveVoters() >= configuration().quorum();
  }

  /** Counts the voters that responded within the minimum election timeout, and this member. */
  long countResponsiveVoters() {
    return configuration().voters().stream().filter(this::isResponsive).count();
  }

  private boolean isSelf(MemberId member) {
    return member.equals(core.self());
  }

  private FollowerProgress progress(MemberId member) {
    return progress.computeIfAbsent(
        member, m -> new FollowerProgress(core.log.lastIndex() + 1, core.now()));
  }

  private void startRound() {
    rounds.start();
    lastRoundNanos = core.now();
    for (MemberId member : recipients()) {
      FollowerProgress follower = progress(member);
      if (!sendEntries(member, follower)) {
        sendHeartbeat(member, follower);
      }
    }
  }

  /** Returns the members to send to: one disk identity of each other instance, the current one. */
  private List<MemberId> recipients() {
    Map<InstanceId, MemberId> recipients = new LinkedHashMap<>();
    for (MemberId member : configuration().members()) {
      if (!member.instance().equals(core.self().instance()) && !isReplaced(member)) {
        recipients.put(member.instance(), member);
      }
    }
    return List.copyOf(recipients.values());
  }

  /** Records the current disk identity of an instance. */
  void recordSender(MemberId from) {
    currentIdentity.put(from.instance(), from);
  }

  private boolean isReplaced(MemberId member) {
    MemberId current = currentIdentity.getOrDefault(member.instance(), member);
    return !current.equals(member) && configuration().hasMember(current);
  }

  private void sendHeartbeat(MemberId to, FollowerProgress follower) {
    follower
        .transfer()
        .ifPresentOrElse(
            t -> core.outbox.sendImmediately(to, t.heartbeat(core.term(), rounds.current())),
            () -> sendAppend(to, follower, List.of()));
  }

  private boolean sendEntries(MemberId to, FollowerProgress follower) {
    if (follower.transfer().isPresent()) {
      return false;
    }
    if (core.log.termAt(follower.nextIndex() - 1) == ReplicatedLog.UNKNOWN_TERM) {
      follower.beginTransfer(core.log.snapshot().orElseThrow());
      sendChunk(to, follower);
      return true;
    }
    boolean sent = false;
    while (follower.nextIndex() <= core.log.lastIndex() && hasInFlightCapacity(follower)) {
      sendAppend(to, follower, nextBatch(follower));
      sent = true;
    }
    return sent;
  }

  private boolean hasInFlightCapacity(FollowerProgress follower) {
    long lastSentIndex = follower.nextIndex() - 1;
    long unacknowledged = lastSentIndex - follower.matchIndex();
    long maxBytes = (long) MAX_BATCHES_IN_FLIGHT * core.settings.maxBatchBytes();
    return !follower.isProbing()
        && unacknowledged < (long) MAX_BATCHES_IN_FLIGHT * core.settings.maxBatchEntries()
        && !core.log.reachesBytes(follower.matchIndex(), lastSentIndex, maxBytes);
  }

  private List<LogEntry> nextBatch(FollowerProgress follower) {
    return core.log.batch(
        follower.nextIndex(), core.settings.maxBatchEntries(), core.settings.maxBatchBytes());
  }

  private void sendAppend(MemberId to, FollowerProgress follower, List<LogEntry> entries) {
    long previousIndex = follower.nextIndex() - 1;
    core.outbox.sendImmediately(
        to,
        new ReplicationMessage.AppendRequest(
            core.term(),
            rounds.current(),
            previousIndex,
            core.log.termAt(previousIndex),
            entries,
            core.commitIndex()));
    follower.recordSent(previousIndex + entries.size());
  }

  private void sendChunk(MemberId to, FollowerProgress follower) {
    follower
        .transfer()
        .map(t -> t.chunk(core.term(), rounds.current(), core.settings.snapshotChunkBytes()))
        .ifPresent(chunk -> core.outbox.sendImmediately(to, chunk));
  }

  void onAppendResponse(MemberId from, ReplicationMessage.AppendResponse response) {
    FollowerProgress follower = progress(from);
    follower.recordResponse(response.round(), core.now());
    if (response.accepted()) {
      follower.recordMatch(Math.min(response.matchIndex(), core.log.lastIndex()));
    } else if (follower.recordRejection(
            response.rejectedIndex(), response.matchIndex(), response.round(), rounds.current())
        && follower.transfer().isEmpty()
        && !sendEntries(from, follower)) {
      sendAppend(from, follower, nextBatch(follower));
    }
  }

  void onChunkResponse(MemberId from, ReplicationMessage.SnapshotChunkResponse response) {
    FollowerProgress follower = progress(from);
    follower.recordResponse(response.round(), core.now());
    long index = response.index();
    int nextOffset = response.nextOffset();
    boolean isChunkDue =
        follower.transfer().stream()
            .anyMatch(
                t ->
                    t.isChunkLost(index, nextOffset, response.round())
                        || t.advance(index, nextOffset));
    if (isChunkDue) {
      sendChunk(from, follower);
    }
  }

  /** Commits, applies and sends entries after an event. */
  void advance() {
    advanceCommit();
    core.applyCommitted();
    reportCommittedProposals();
    if (rounds.confirm(highestAtQuorum(this::roundOf), core.outbox)) {
      startRound();
      // A single voter confirms its own round at once.
      rounds.confirm(highestAtQuorum(this::roundOf), core.outbox);
    }
    recipients().forEach(m -> sendEntries(m, progress(m)));
  }

  private void advanceCommit() {
    long index = highestAtQuorum(this::matchOf);
    // An entry of an older term could still be replaced until an entry of this term is committed.
    if (index > core.commitIndex() && core.log.termAt(index) == core.term()) {
      core.commitTo(index);
    }
  }

  private long matchOf(MemberId member) {
    return isSelf(member) ? core.outbox.durableIndex() : progress(member).matchIndex();
  }

  private long roundOf(MemberId member) {
    return isSelf(member) ? rounds.current() : progress(member).acknowledgedRound();
  }

  /** Returns the highest value that a quorum of the voters has reached. */
  private long highestAtQuorum(ToLongFunction<MemberId> value) {
    List<Long> sorted = configuration().voters().stream().map(value::applyAsLong).sorted().toList();
    return sorted.isEmpty() ? 0 : sorted.get(sorted.size() - configuration().quorum());
  }

  List<MemberProgress> progress() {
    GroupConfiguration current = configuration();
    return current.members().stream()
        .map(m -> new MemberProgress(m, current.hasVoter(m), matchOf(m), isResponsive(m)))
        .toList();
  }

  private boolean isResponsive(MemberId member) {
    return isSelf(member)
        || progress(member).hasContactWithin(core.now(), core.settings.electionMinNanos());
  }

  private void reportCommittedProposals() {
    while (!proposalIdByIndex.isEmpty() && proposalIdByIndex.firstKey() <= core.appliedIndex()) {
      Map.Entry<Long, Long> first = proposalIdByIndex.pollFirstEntry();
      core.outbox.emit(new ReplicationEffect.ProposalCommitted(first.getValue(), first.getKey()));
    }
  }

  /** Tells whether the latest configuration is committed and this member is no voter in it. */
  boolean isRemoved() {
    return !configuration().hasVoter(core.self())
        && core.log.configurationIndex() <= core.commitIndex();
  }

  void stop() {
    proposalIdByIndex.values().forEach(id -> reject(id, ProposalFailure.OUTCOME_UNKNOWN));
    rounds.failPending(core.outbox);
  }
}
