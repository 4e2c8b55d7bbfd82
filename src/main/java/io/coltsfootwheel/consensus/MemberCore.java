package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** State shared by election, replication and bootstrap. */
final class MemberCore {
  /** Internal role; learners, and members without a configuration, are followers. */
  enum Mode {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
    FAILED
  }

  /**
   * Shortest first election timeout, as a fraction of the minimum election timeout; leaves time to
   * open the links to the other members.
   */
  private static final double MIN_FIRST_TIMEOUT_FRACTION = 0.3;

  final ReplicationSettings settings;
  final ReplicatedLog log;
  final Outbox outbox;
  private final UniformRandomProvider random;
  private Optional<GroupConfiguration> initialConfiguration;
  private Optional<MemberId> vote;
  private long term;
  private Mode mode = Mode.FOLLOWER;
  private Optional<MemberId> leader = Optional.empty();
  private long nowNanos;
  private long electionDeadlineNanos;
  private long leaderContactNanos;
  private long commitIndex;
  private long appliedIndex;
  private Optional<ReplicationSnapshot> snapshotToInstall;

  MemberCore(ReplicationSettings settings, DurableState durable, long nowNanos) {
    this.settings = settings;
    this.nowNanos = nowNanos;
    log = new ReplicatedLog(durable);
    outbox = new Outbox(settings.self(), log.lastIndex());
    random = RandomSource.SPLIT_MIX_64.create(settings.seed());
    term = durable.hardState().term();
    vote = durable.hardState().vote();
    initialConfiguration = durable.hardState().initialConfiguration();
    commitIndex = log.latestSnapshotIndex();
    snapshotToInstall = durable.snapshot();
    startFirstElectionTimer();
  }

  MemberId self() {
    return settings.self();
  }

  long now() {
    return nowNanos;
  }

  void setNow(long value) {
    nowNanos = value;
  }

  long term() {
    return term;
  }

  Optional<MemberId> vote() {
    return vote;
  }

  Mode mode() {
    return mode;
  }

  Optional<MemberId> leader() {
    return leader;
  }

  long commitIndex() {
    return commitIndex;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  Optional<GroupConfiguration> initialConfiguration() {
    return initialConfiguration;
  }

  /**
   * Tells whether this member is a voter in the latest or in the committed configuration. A voter
   * whose removal is not known to be committed may still stand for election, because its log may be
   * the only one recent enough to complete the removal.
   */
  boolean canBecomeCandidate() {
    return Stream.of(log.configuration(), log.configurationAt(commitIndex))
        .flatMap(Optional::stream)
        .anyMatch(c -> c.hasVoter(self()));
  }

  boolean isVoter(MemberId member) {
    return log.configuration().filter(c -> c.hasVoter(member)).isPresent();
  }

  boolean isMember(MemberId member) {
    return log.configuration().filter(c -> c.hasMember(member)).isPresent();
  }

  /**
   * Returns the voters of other instances. Earlier disk identities of this instance are left out,
   * because messages are routed by instance and would come back to this member.
   */
  List<MemberId> otherVoters() {
    return log.configuration().map(GroupConfiguration::voters).orElse(List.of()).stream()
        .filter(m -> !m.instance().equals(self().instance()))
        .toList();
  }

  void setMode(Mode value, Optional<MemberId> newLeader) {
    mode = value;
    leader = newLeader;
  }

  /** Sets and persists term and vote; messages that depend on them wait for the sync. */
  void setTermAndVote(long newTerm, Optional<MemberId> newVote) {
    if (newTerm != term || !newVote.equals(vote)) {
      term = newTerm;
      vote = newVote;
      persistHardState();
    }
  }

  void setInitialConfiguration(GroupConfiguration configuration) {
    initialConfiguration = Optional.of(configuration);
    log.setInitialConfiguration(configuration);
    persistHardState();
  }

  private void persistHardState() {
    HardState state = new HardState(term, vote, initialConfiguration);
    outbox.persist(Optional.of(state), 0, List.of(), log.lastIndex());
  }

  void adoptTerm(long newTerm) {
    if (newTerm > term) {
      setTermAndVote(newTerm, Optional.empty());
    }
  }

  /**
   * Starts the first election timeout, which is shorter than later ones. When all members start
   * together there is no leader to wait for, and an existing leader is protected by the pre-vote.
   */
  private void startFirstElectionTimer() {
    long maxTimeoutNanos = settings.electionMinNanos();
    long minTimeoutNanos = (long) (MIN_FIRST_TIMEOUT_FRACTION * maxTimeoutNanos);
    electionDeadlineNanos =
        nowNanos + minTimeoutNanos + random.nextLong(maxTimeoutNanos - minTimeoutNanos);
  }

  void resetElectionTimer() {
    long rangeNanos = settings.electionMaxNanos() - settings.electionMinNanos();
    electionDeadlineNanos = nowNanos + settings.electionMinNanos() + random.nextLong(rangeNanos);
  }

  void expireElectionTimer() {
    electionDeadlineNanos = nowNanos;
  }

  boolean isElectionTimerExpired() {
    return nowNanos - electionDeadlineNanos >= 0;
  }

  void recordLeaderContact(MemberId from) {
    leader = Optional.of(from);
    leaderContactNanos = nowNanos;
    resetElectionTimer();
  }

  /**
   * Tells whether this member leads, or a leader made contact within the minimum election timeout.
   */
  boolean hasRecentLeaderContact() {
    return mode == Mode.LEADER
        || leader.isPresent() && nowNanos - leaderContactNanos < settings.electionMinNanos();
  }

  /**
   * Tells whether a log with this last entry is at least as up to date as the log of this member.
   */
  boolean isLogUpToDate(long lastIndex, long lastTerm) {
    return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
  }

  /** Appends entries, after dropping those from an index on; 0 drops none. */
  void append(List<LogEntry> entries, long truncateFrom) {
    if (truncateFrom > 0) {
      checkNotCommitted(truncateFrom);
      log.truncateFrom(truncateFrom);
    }
    entries.forEach(log::append);
    outbox.persist(Optional.empty(), truncateFrom, entries, log.lastIndex());
  }

  private void checkNotCommitted(long truncateFrom) {
    if (truncateFrom <= commitIndex) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVARIANT_VIOLATED,
          "log of " + self() + " would truncate committed entry " + truncateFrom);
    }
  }

  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  void replaceLog(ReplicationSnapshot snapshot) {
    log.replaceWith(snapshot);
    commitIndex = snapshot.index();
    snapshotToInstall = Optional.of(snapshot);
    outbox.persistSnapshot(snapshot, snapshot.index() + 1, true, snapshot.index());
  }

  /**
   * Emits entries that are both committed and synced on this member. Waiting for the local sync
   * ensures that a snapshot never includes entries that the local log could lose in a crash.
   */
  void applyCommitted() {
    long limitIndex = Math.min(commitIndex, outbox.durableIndex());
    snapshotToInstall
        .filter(s -> s.index() <= limitIndex)
        .ifPresent(
            s -> {
              outbox.emit(new ReplicationEffect.InstallSnapshot(s.index(), s.bytes()));
              appliedIndex = s.index();
              snapshotToInstall = Optional.empty();
            });
    while (snapshotToInstall.isEmpty() && appliedIndex < limitIndex) {
      appliedIndex++;
      LogEntry entry = log.entry(appliedIndex);
      byte[] command = entry.kind() == EntryKind.COMMAND ? entry.bytes() : new byte[0];
      outbox.emit(new ReplicationEffect.ApplyCommitted(appliedIndex, command));
    }
  }

  void storeSnapshot(long index, byte[] bytes) {
    if (index > log.latestSnapshotIndex() && index <= appliedIndex) {
      ReplicationSnapshot snapshot =
          log.compact(index, bytes, settings.retainedEntries(), settings.retainedBytes());
      outbox.persistSnapshot(snapshot, log.baseIndex() + 1, false, log.lastIndex());
    }
  }
}
