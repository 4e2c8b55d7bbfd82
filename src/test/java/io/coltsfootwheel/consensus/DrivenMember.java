package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Reducer of one member that a test drives event by event; writes are synced at once. */
final class DrivenMember {
  private final ReplicationReducer reducer;
  private final List<ReplicationEffect> effects = new ArrayList<>();
  private long nowNanos;

  DrivenMember(MemberId self, DurableState durable) {
    this(self, durable, IntStream.rangeClosed(1, 3).mapToObj(n -> member(n).instance()).toList());
  }

  DrivenMember(MemberId self, DurableState durable, List<InstanceId> initialInstances) {
    reducer =
        new ReplicationReducer(
            ReplicationSettings.of(self, initialInstances, true, 1), durable, nowNanos);
  }

  /** Starts n1 as a voter of a group at a term, with one command per given term in its log. */
  static DrivenMember voter(int groupSize, long term, long... entryTerms) {
    GroupConfiguration configuration =
        GroupConfiguration.of(
            IntStream.rangeClosed(1, groupSize).mapToObj(n -> member(n)).toList());
    List<LogEntry> entries =
        IntStream.range(0, entryTerms.length)
            .mapToObj(i -> new LogEntry(i + 1, entryTerms[i], EntryKind.COMMAND, new byte[] {1}))
            .toList();
    HardState hardState = new HardState(term, Optional.empty(), Optional.of(configuration));
    return new DrivenMember(member(1), new DurableState(hardState, Optional.empty(), entries));
  }

  static MemberId member(int number) {
    return member(number, "disk-1");
  }

  static MemberId member(int number, String diskId) {
    return new MemberId(InstanceId.of("n" + number), diskId);
  }

  ReplicationReducer reducer() {
    return reducer;
  }

  long nowNanos() {
    return nowNanos;
  }

  DrivenMember apply(ReplicationEvent event) {
    List<ReplicationEffect> newEffects = reducer.apply(event);
    effects.addAll(newEffects);
    for (ReplicationEffect effect : newEffects) {
      if (effect instanceof ReplicationEffect.Persist persist) {
        apply(new ReplicationEvent.Persisted(nowNanos, persist.sequence()));
      }
    }
    return this;
  }

  DrivenMember tickAfter(long millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    return apply(new ReplicationEvent.Tick(nowNanos));
  }

  DrivenMember receive(MemberId from, ReplicationMessage message) {
    return apply(new ReplicationEvent.MessageReceived(nowNanos, from, message));
  }

  DrivenMember propose(byte[] command) {
    return apply(new ReplicationEvent.Propose(nowNanos, 1, command));
  }

  /** Lets the member win an election with exactly a quorum of votes. */
  DrivenMember elect() {
    tickAfter(300);
    int grants = reducer.configuration().orElseThrow().quorum() - 1;
    for (int n = 2; n < 2 + grants; n++) {
      receive(member(n), new ReplicationMessage.PreVoteResponse(term() + 1, true, term()));
    }
    for (int n = 2; n < 2 + grants; n++) {
      receive(member(n), new ReplicationMessage.VoteResponse(term(), true));
    }
    return this;
  }

  /** Receives a response of a member to the latest heartbeat round, with a match index. */
  DrivenMember acknowledge(MemberId from, long matchIndex) {
    long round =
        sent(ReplicationMessage.AppendRequest.class)
            .reduce(0L, (r, m) -> Math.max(r, m.round()), Math::max);
    return receive(from, new ReplicationMessage.AppendResponse(term(), round, true, matchIndex, 0));
  }

  long term() {
    return reducer.term();
  }

  /** Returns the messages of a type that the member has sent so far. */
  <T extends ReplicationMessage> Stream<T> sent(Class<T> type) {
    return sendEffects()
        .map(ReplicationEffect.Send::message)
        .filter(type::isInstance)
        .map(type::cast);
  }

  Stream<ReplicationEffect.Send> sendEffects() {
    return effects(ReplicationEffect.Send.class);
  }

  /** Returns the effects of a type so far. */
  <T extends ReplicationEffect> Stream<T> effects(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast);
  }

  /** Returns the last role that the member reported. */
  Role role() {
    return effects.stream()
        .filter(ReplicationEffect.RoleChanged.class::isInstance)
        .map(e -> ((ReplicationEffect.RoleChanged) e).role())
        .reduce(Role.FOLLOWER, (earlier, later) -> later);
  }
}
