package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Measures the encoded size of replication messages and the processing time of a commit. */
final class ReplicationMeasurement {
  private static final int COMMAND_BYTES = 100;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int HEARTBEAT_TICKS = 200;
  private static final int WARM_UP_COMMITS = 50_000;
  private static final int COMMITS = 20_000;
  private static final int COMMITS_PER_SNAPSHOT = 1_000;
  private static final int TRAFFIC_COMMITS = 1_000;

  private record Message(int from, ReplicationEffect.Send send) {}

  private final List<MemberId> ids;
  private final List<ReplicationReducer> members = new ArrayList<>();
  private final Deque<Message> network = new ArrayDeque<>();
  private long nowNanos;
  private long proposals;
  private long committed;
  private boolean isCounting;
  private long leaderBytes;
  private long followerBytes;

  private ReplicationMeasurement(int size) {
    ids = IntStream.rangeClosed(1, size).mapToObj(ReplicationMeasurement::memberId).toList();
    List<InstanceId> instances = ids.stream().map(MemberId::instance).toList();
    HardState hardState =
        new HardState(1, Optional.empty(), Optional.of(GroupConfiguration.of(ids)));
    DurableState durableState = new DurableState(hardState, Optional.empty(), List.of());
    for (MemberId id : ids) {
      ReplicationSettings settings = ReplicationSettings.of(id, instances, true, id.hashCode());
      members.add(new ReplicationReducer(settings, durableState, nowNanos));
    }
    // Only member 0 receives ticks, so that it becomes the leader.
    for (int i = 0; i < 10; i++) {
      tick();
    }
  }

  private static MemberId memberId(int number) {
    return new MemberId(InstanceId.of("instance-" + number), "0123456789abcdef0123456789abcdef");
  }

  public static void main(String[] arguments) {
    for (int size : new int[] {3, 5}) {
      new ReplicationMeasurement(size).report();
    }
  }

  private void report() {
    isCounting = true;
    IntStream.range(0, HEARTBEAT_TICKS).forEach(i -> tick());
    double seconds = (double) HEARTBEAT_TICKS * TICK_NANOS / TimeUnit.SECONDS.toNanos(1);
    System.out.printf(
        "%d members, heartbeats: leader sends %.0f bytes/s, a follower %.0f bytes/s%n",
        ids.size(), leaderBytes / seconds, followerBytes / seconds / (ids.size() - 1));
    leaderBytes = 0;
    followerBytes = 0;
    commit(TRAFFIC_COMMITS);
    System.out.printf(
        "%d members, one command: leader sends %.0f bytes, a follower %.0f bytes%n",
        ids.size(),
        (double) leaderBytes / TRAFFIC_COMMITS,
        (double) followerBytes / TRAFFIC_COMMITS / (ids.size() - 1));
    isCounting = false;
    commit(WARM_UP_COMMITS);
    long startNanos = System.nanoTime();
    commit(COMMITS);
    System.out.printf(
        "%d members, one commit in the reducers of all members: %.1f microseconds%n",
        ids.size(), (System.nanoTime() - startNanos) / 1e3 / COMMITS);
  }

  private void tick() {
    nowNanos += TICK_NANOS;
    apply(0, new ReplicationEvent.Tick(nowNanos));
    deliver();
  }

  private void commit(int count) {
    for (int i = 0; i < count; i++) {
      long committedBefore = committed;
      apply(0, new ReplicationEvent.Propose(nowNanos, ++proposals, new byte[COMMAND_BYTES]));
      deliver();
      if (committed != committedBefore + 1) {
        throw new IllegalStateException("proposal " + proposals + " was not committed");
      }
      if (proposals % COMMITS_PER_SNAPSHOT == 0) {
        compact();
      }
    }
  }

  /** Takes a snapshot on every member, so that the logs stay short as in the daemon. */
  private void compact() {
    for (int i = 0; i < ids.size(); i++) {
      long index = members.get(i).commitIndex();
      apply(i, new ReplicationEvent.SnapshotTaken(nowNanos, index, new byte[COMMAND_BYTES]));
    }
    deliver();
  }

  private void deliver() {
    while (!network.isEmpty()) {
      Message next = network.poll();
      int to = ids.indexOf(next.send.to());
      apply(
          to,
          new ReplicationEvent.MessageReceived(nowNanos, ids.get(next.from), next.send.message()));
    }
  }

  private void apply(int member, ReplicationEvent event) {
    for (ReplicationEffect effect : members.get(member).apply(event)) {
      if (effect instanceof ReplicationEffect.Send send) {
        count(member, send.message());
        network.add(new Message(member, send));
      } else if (effect instanceof ReplicationEffect.Persist persist) {
        apply(member, new ReplicationEvent.Persisted(nowNanos, persist.sequence()));
      } else if (effect instanceof ReplicationEffect.PersistSnapshot persist) {
        apply(member, new ReplicationEvent.Persisted(nowNanos, persist.sequence()));
      } else if (effect instanceof ReplicationEffect.ProposalCommitted) {
        committed++;
      }
    }
  }

  private void count(int member, ReplicationMessage message) {
    if (!isCounting) {
      return;
    }
    int bytes = ControlCodec.encode(message).length;
    if (member == 0) {
      leaderBytes += bytes;
    } else {
      followerBytes += bytes;
    }
  }
}
