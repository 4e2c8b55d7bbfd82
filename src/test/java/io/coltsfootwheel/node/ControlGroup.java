package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.LongFunction;

/**
 * Control processes that run in one thread, on a simulated network from which a process can be
 * isolated and on simulated disks whose writes always succeed.
 */
final class ControlGroup {
  /** Time that the successor of a lost member has to take its place. */
  static final long CATCH_UP_MILLIS = 4_000;

  /** Availability zones that the settings of all processes name. */
  static final Set<AvailabilityZone> ZONES =
      Set.of(AvailabilityZone.of("z"), AvailabilityZone.of("empty"));

  private static final long STEP_NANOS = 10_000_000;

  private final Map<InstanceId, ControlReducer> members = new HashMap<>();
  private final Queue<Runnable> network = new ArrayDeque<>();
  private final Set<InstanceId> isolated = new HashSet<>();
  private final Map<Long, ControlAnswer> answers = new HashMap<>();
  private final List<NodeMessage> messagesToEntries = new ArrayList<>();
  private final Map<InstanceId, StoredLogSize> logSizes = new HashMap<>();
  private final List<InstanceId> seeds = new ArrayList<>();
  private long nowNanos = 1;
  private long lastRequestId;

  ControlGroup(int seedCount, int otherCount) {
    for (int i = 1; i <= seedCount; i++) {
      seeds.add(InstanceId.of("10.0.0." + i));
    }
    seeds.forEach(s -> add(s, true));
    for (int i = 1; i <= otherCount; i++) {
      add(InstanceId.of("10.0.1." + i), true);
    }
  }

  /** Adds a process with an empty disk. */
  void add(InstanceId id, boolean firstStart) {
    add(id, firstStart, seeds);
  }

  /** Adds a process with an empty disk that joins through some of the running ones. */
  void addSuccessor(InstanceId id, List<InstanceId> someRunning) {
    add(id, false, someRunning);
  }

  private void add(InstanceId id, boolean firstStart, List<InstanceId> seeds) {
    MemberId self = new MemberId(id, "disk-" + id + "-" + members.size());
    ControlSettings settings =
        new ControlSettings(
            id,
            seeds,
            firstStart,
            5,
            CATCH_UP_MILLIS / 4,
            OwnershipSettings.of(870, 10_000),
            ZONES);
    ReplicationSettings replication =
        ControlNode.replicationSettings(self, settings, id.hashCode());
    members.put(
        id,
        new ControlReducer(
            settings,
            self,
            new ReplicationReducer(replication, DurableState.empty(), nowNanos),
            nowNanos));
  }

  void run(long millis) {
    long endNanos = nowNanos + millis * 1_000_000;
    while (nowNanos < endNanos) {
      nowNanos += STEP_NANOS;
      List.copyOf(members.keySet()).forEach(id -> apply(id, new ControlEvent.Tick(nowNanos)));
      deliver();
    }
  }

  /** Drops all messages between a process and the others. */
  void isolate(InstanceId id) {
    isolated.add(id);
  }

  void reconnectAll() {
    isolated.clear();
  }

  void reconnect(InstanceId id) {
    isolated.remove(id);
  }

  Optional<InstanceId> leader() {
    return members.entrySet().stream()
        .filter(m -> m.getValue().role() == Role.LEADER_READY)
        .filter(m -> !isolated.contains(m.getKey()))
        .max((a, b) -> Long.compare(a.getValue().term(), b.getValue().term()))
        .map(Map.Entry::getKey);
  }

  long leaderCount() {
    return members.values().stream().filter(m -> m.role() == Role.LEADER_READY).count();
  }

  ControlReducer member(InstanceId id) {
    return members.get(id);
  }

  /** Sends a call to a process and returns the request number of the call. */
  long call(InstanceId to, LongFunction<ControlEvent> event) {
    long id = ++lastRequestId;
    apply(to, event.apply(id));
    deliver();
    return id;
  }

  Optional<ControlAnswer> answer(long call) {
    return Optional.ofNullable(answers.get(call));
  }

  List<NodeMessage> messagesToEntries() {
    return messagesToEntries;
  }

  /** Returns the largest size that the stored log of any process has had, in bytes. */
  long largestLogBytes() {
    return logSizes.values().stream().mapToLong(StoredLogSize::largestBytes).max().orElse(0);
  }

  long nowNanos() {
    return nowNanos;
  }

  private void apply(InstanceId id, ControlEvent event) {
    for (ControlEffect effect : members.get(id).apply(event)) {
      execute(id, effect);
    }
  }

  private void execute(InstanceId from, ControlEffect effect) {
    if (effect instanceof ControlEffect.Send send) {
      network.add(() -> receive(from, send));
    } else if (effect instanceof ControlEffect.Persist persist) {
      logSizes.computeIfAbsent(from, id -> new StoredLogSize()).record(persist.effect());
      network.add(() -> persisted(from, persist.effect()));
    } else if (effect instanceof ControlEffect.Answer answer) {
      answers.put(answer.requestId(), answer.answer());
    }
  }

  private void persisted(InstanceId id, ReplicationEffect effect) {
    long sequence =
        effect instanceof ReplicationEffect.Persist persist
            ? persist.sequence()
            : ((ReplicationEffect.PersistSnapshot) effect).sequence();
    apply(id, new ControlEvent.JournalResult(new ReplicationEvent.Persisted(nowNanos, sequence)));
  }

  private void receive(InstanceId from, ControlEffect.Send send) {
    if (!members.containsKey(send.to())) {
      messagesToEntries.add(send.message());
    } else if (!isolated.contains(from) && !isolated.contains(send.to())) {
      NodeMessage decoded = NodeMessage.decode(send.message().toFrame());
      apply(send.to(), new ControlEvent.MessageReceived(nowNanos, from, decoded));
    }
  }

  private void deliver() {
    while (!network.isEmpty()) {
      network.poll().run();
    }
  }
}
