package io.coltsfootwheel.node;

import io.coltsfootwheel.model.InstanceId;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which control processes an entry sends its subscription to: the leader, or all known ones
 * while no leader is known or the leader is unresponsive.
 */
final class LeaderFinder {
  /** Six subscription intervals; a leader that is unresponsive for longer may be replaced. */
  private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final Set<InstanceId> known;
  private Optional<InstanceId> leader = Optional.empty();
  private long term;
  private long lastContactNanos;

  LeaderFinder(List<InstanceId> seeds) {
    known = new LinkedHashSet<>(seeds);
  }

  void addSeeds(List<InstanceId> seeds) {
    known.addAll(seeds);
  }

  Set<InstanceId> known() {
    return Collections.unmodifiableSet(new LinkedHashSet<>(known));
  }

  Optional<InstanceId> leader() {
    return leader;
  }

  /** Records a contact with a leader; returns false when a leader of a later term is known. */
  boolean heard(long nowNanos, InstanceId from, long newTerm, List<InstanceId> members) {
    if (newTerm < term) {
      return false;
    }
    term = newTerm;
    leader = Optional.of(from);
    lastContactNanos = nowNanos;
    known.addAll(members);
    return true;
  }

  /** Processes the answer of a process that does not lead; returns the leader that it names. */
  Optional<InstanceId> recordDirectory(InstanceId from, NodeMessage.Directory directory) {
    known.addAll(directory.members());
    if (leader.filter(from::equals).isPresent()) {
      leader = Optional.empty();
    }
    return directory.leader().filter(l -> !l.equals(from) && known.contains(l));
  }

  Set<InstanceId> membersToAsk(long nowNanos) {
    return leader.isPresent() && nowNanos - lastContactNanos < LEADER_TIMEOUT_NANOS
        ? Set.of(leader.get())
        : known();
  }
}
