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

/** Replication, commit and quorum rounds of a leader during one term. */
final class LeaderState {
  /** Batches that may be on their way to a member before it acknowledges one. */
  private static final int MAX_BATCHES_IN_FLIGHT = 4;

  private final MemberCore core;
  private final Map<MemberId, FollowerProgress> progress = new HashMap<>();
  private final Map<InstanceId, MemberId> presentIdentity = new HashMap<>();
  private final TreeMap<Long, Long> proposalAtIndex = new TreeMap<>();
  private final LeadershipRounds rounds = new LeadershipRounds();
  private long noOpIndex;
  private long heartbeatNanos;

  LeaderState(MemberCore core) {
    this.core = core;
  }

  void start() {
    Configuration configuration = configuration();
    core.setMode(MemberCore.Mode.LEADER, Optional.of(core.self()));
    noOpIndex = appendEntry(EntryKind.NO_OP, ControlCodec.encode(configuration));
    startRound();
  }

  Configuration configuration() {
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
    if (core.log.lastIndex() - core.commitIndex() >= core.settings.maxUncommitted()) {
      reject(proposalId, ProposalFailure.OVERLOADED);
    } else {
      proposalAtIndex.put(appendEntry(EntryKind.COMMAND, command), proposalId);
    }
  }

  void changeConfiguration(Configuration next, Optional<Long> proposalId) {
    long index = appendEntry(EntryKind.CONFIGURATION, ControlCodec.encode(next));
    proposalId.ifPresent(id -> proposalAtIndex.put(index, id));
  }

  void reject(long proposalId, ProposalFailure failure) {
    core.outbox.emit(new ReplicationEffect.ProposalRejected(proposalId, failure, core.leader()));
  }

  void confirmLeadership(long requestId) {
    if (rounds.ask(requestId)) {
      startRound();
    }
  }

  /** Sends heartbeats when due; returns false when the quorum has not been heard. */
  boolean tick() {
    if (!hasQuorumContact()) {
      return false;
    }
    if (core.now() - heartbeatNanos >= core.settings.heartbeatNanos()) {
      startRound();
    }
    return true;
  }

  private boolean hasQuorumContact() {
    return heardVoters() >= configuration().quorum();
  }

  /** Returns how many voters, with this member, were heard within the minimum election timeout. */
  long heardVoters() {
    return configuration().voters().stream().filter(this::isHeard).count();
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
    heartbeatNanos = core.now();
    for (MemberId member : receivers()) {
      FollowerProgress target = progress(member);
      if (!sendEntries(member, target)) {
        sendHeartbeat(member, target);
      }
    }
  }

  /** Returns the members to send to; of an instance only the identity that it has now. */
  private List<MemberId> receivers() {
    Map<InstanceId, MemberId> receivers = new LinkedHashMap<>();
    for (MemberId member : configuration().members()) {
      if (!member.instance().equals(core.self().instance()) && !isReplaced(member)) {
        receivers.put(member.instance(), member);
      }
    }
    return List.copyOf(receivers.values());
  }

  /** Notes which disk identity an instance has now. */
  void noteSender(MemberId from) {
    presentIdentity.put(from.instance(), from);
  }

  private boolean isReplaced(MemberId member) {
    MemberId present = presentIdentity.getOrDefault(member.instance(), member);
    return !present.equals(member) && configuration().hasMember(present);
  }

  private void sendHeartbeat(MemberId to, FollowerProgress target) {
    if (target.transfer().isPresent()) {
      sendChunk(to, target);
    } else {
      sendAppend(to, target, List.of());
    }
  }

  private boolean sendEntries(MemberId to, FollowerProgress target) {
    if (target.transfer().isPresent()) {
      return false;
    }
    if (core.log.termAt(target.nextIndex() - 1) == ReplicatedLog.UNKNOWN_TERM) {
      target.beginTransfer(core.log.snapshot().orElseThrow());
      sendChunk(to, target);
      return true;
    }
    boolean sent = false;
    while (target.nextIndex() <= core.log.lastIndex() && hasRoomInFlight(target)) {
      sendAppend(to, target, nextBatch(target));
      sent = true;
    }
    return sent;
  }

  private boolean hasRoomInFlight(FollowerProgress target) {
    long unacknowledged = target.nextIndex() - 1 - target.matchIndex();
    return !target.isProbing()
        && unacknowledged < (long) MAX_BATCHES_IN_FLIGHT * core.settings.maxBatchEntries();
  }

  private List<LogEntry> nextBatch(FollowerProgress target) {
    return core.log.batch(
        target.nextIndex(), core.settings.maxBatchEntries(), core.settings.maxBatchBytes());
  }

  private void sendAppend(MemberId to, FollowerProgress target, List<LogEntry> entries) {
    long previous = target.nextIndex() - 1;
    core.outbox.sendNow(
        to,
        new ReplicationMessage.AppendRequest(
            core.term(),
            rounds.current(),
            previous,
            core.log.termAt(previous),
            entries,
            core.commitIndex()));
    target.sentUpTo(previous + entries.size());
  }

  private void sendChunk(MemberId to, FollowerProgress target) {
    target
        .transfer()
        .map(t -> t.chunk(core.term(), rounds.current(), core.settings.snapshotChunkBytes()))
        .ifPresent(chunk -> core.outbox.sendNow(to, chunk));
  }

  void onAppendResponse(MemberId from, ReplicationMessage.AppendResponse response) {
    FollowerProgress target = progress(from);
    target.acknowledge(response.round(), core.now());
    if (response.accepted()) {
      target.matched(Math.min(response.matchIndex(), core.log.lastIndex()));
    } else if (target.rejected(response.rejectedIndex(), response.matchIndex())
        && target.transfer().isEmpty()
        && !sendEntries(from, target)) {
      sendAppend(from, target, nextBatch(target));
    }
  }

  void onChunkResponse(MemberId from, ReplicationMessage.SnapshotChunkResponse response) {
    FollowerProgress target = progress(from);
    target.acknowledge(response.round(), core.now());
    boolean advanced =
        target.transfer().stream()
            .anyMatch(t -> t.advance(response.index(), response.nextOffset()));
    if (advanced) {
      sendChunk(from, target);
    }
  }

  /** Commits, applies and sends what the present event has made possible. */
  void settle() {
    advanceCommit();
    core.applyCommitted();
    reportProposals();
    if (rounds.settle(quorumValue(this::roundOf), core.outbox)) {
      startRound();
      rounds.settle(quorumValue(this::roundOf), core.outbox);
    }
    receivers().forEach(m -> sendEntries(m, progress(m)));
  }

  private void advanceCommit() {
    long index = quorumValue(this::matchOf);
    // An entry of an older term is safe only when an entry of this term follows it.
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
  private long quorumValue(ToLongFunction<MemberId> value) {
    List<Long> sorted = configuration().voters().stream().map(value::applyAsLong).sorted().toList();
    return sorted.isEmpty() ? 0 : sorted.get(sorted.size() - configuration().quorum());
  }

  List<MemberProgress> progress() {
    Configuration present = configuration();
    return present.members().stream()
        .map(m -> new MemberProgress(m, present.hasVoter(m), matchOf(m), isHeard(m)))
        .toList();
  }

  private boolean isHeard(MemberId member) {
    return isSelf(member)
        || progress(member).isHeardWithin(core.now(), core.settings.electionMinNanos());
  }

  private void reportProposals() {
    while (!proposalAtIndex.isEmpty() && proposalAtIndex.firstKey() <= core.appliedIndex()) {
      Map.Entry<Long, Long> first = proposalAtIndex.pollFirstEntry();
      core.outbox.emit(new ReplicationEffect.ProposalCommitted(first.getValue(), first.getKey()));
    }
  }

  /** Tells whether this member has removed itself and the removal is committed. */
  boolean isRemoved() {
    return !configuration().hasVoter(core.self())
        && core.log.configurationIndex() <= core.commitIndex();
  }

  void stop() {
    proposalAtIndex.values().forEach(id -> reject(id, ProposalFailure.OUTCOME_UNKNOWN));
    rounds.stop(core.outbox);
  }
}
