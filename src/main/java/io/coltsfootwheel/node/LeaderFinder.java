package io.coltsfootwheel.node;

import io.coltsfootwheel.model.InstanceId;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Decides which control processes an entry asks: the leader, or all while the leader is silent. */
final class LeaderFinder {
  /** Three intervals of subscription; a leader that is silent for longer may have been replaced. */
  private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final Set<InstanceId> known;
  private Optional<InstanceId> leader = Optional.empty();
  private long term;
  private long heardNanos;

  LeaderFinder(List<InstanceId> seeds) {
    known = new LinkedHashSet<>(seeds);
  }

  void seeds(List<InstanceId> seeds) {
    known.addAll(seeds);
  }

  Set<InstanceId> known() {
    return Set.copyOf(known);
  }

  Optional<InstanceId> leader() {
    return leader;
  }

  /** Takes word of a leader; returns false when a later leader is known. */
  boolean heard(long nowNanos, InstanceId from, long newTerm, List<InstanceId> members) {
    if (newTerm < term) {
      return false;
    }
    term = newTerm;
    leader = Optional.of(from);
    heardNanos = nowNanos;
    known.addAll(members);
    return true;
  }

  /** Takes word of a process that does not lead; returns the leader that it names. */
  Optional<InstanceId> directory(InstanceId from, NodeMessage.Directory directory) {
    known.addAll(directory.members());
    if (leader.filter(from::equals).isPresent()) {
      leader = Optional.empty();
    }
    return directory.leader().filter(l -> !l.equals(from) && known.contains(l));
  }

  Set<InstanceId> toAsk(long nowNanos) {
    return leader.isPresent() && nowNanos - heardNanos < SILENT_NANOS
        ? Set.of(leader.get())
        : known();
  }
}
