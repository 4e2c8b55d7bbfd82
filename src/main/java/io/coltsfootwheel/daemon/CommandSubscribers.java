package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.SnapshotSchedule;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Instances that subscribe to the committed commands at this control member. */
final class CommandSubscribers {
  private static final int MAX_RETAINED_DELTAS = 4_096;

  /** Size of the retained commands; a subscriber that lacks others gets the whole state. */
  static final long MAX_RETAINED_BYTES = SnapshotSchedule.MAX_COMMAND_BYTES;

  private static final long SUBSCRIPTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final TreeMap<InstanceId, Long> expiryNanosByInstance = new TreeMap<>();
  private final Deque<ControlMessage.StateDelta> retainedDeltas = new ArrayDeque<>();
  private long retainedBytes;

  /** Encoded once for all subscribers, while the retained commands continue it. */
  private Optional<ControlMessage.StateSnapshot> snapshot = Optional.empty();

  /**
   * Adds or renews a subscription, and sends the commands that the subscriber lacks, or the whole
   * state when these are no longer retained.
   *
   * @param nowNanos monotonic time
   * @param instance the subscriber
   * @param appliedIndex index that it has applied
   * @param state the control state of this member
   * @return the messages to send
   */
  List<InstanceEffect> subscribe(
      long nowNanos, InstanceId instance, long appliedIndex, ControlState state) {
    expiryNanosByInstance.put(instance, nowNanos + SUBSCRIPTION_NANOS);
    if (appliedIndex >= state.appliedIndex()) {
      return List.of();
    }
    List<InstanceEffect> effects = new ArrayList<>();
    long fromIndex = appliedIndex;
    if (!isContinued(appliedIndex)) {
      ControlMessage.StateSnapshot whole = snapshotOf(state);
      effects.add(new InstanceEffect.SendMessage(instance, whole));
      fromIndex = whole.index();
    }
    for (ControlMessage.StateDelta delta : retainedDeltas) {
      if (delta.previousIndex() >= fromIndex) {
        effects.add(new InstanceEffect.SendMessage(instance, delta));
      }
    }
    return effects;
  }

  private boolean isContinued(long index) {
    return retainedDeltas.stream().anyMatch(delta -> delta.previousIndex() == index);
  }

  private ControlMessage.StateSnapshot snapshotOf(ControlState state) {
    boolean isUsable =
        snapshot
            .filter(s -> s.index() == state.appliedIndex() || isContinued(s.index()))
            .isPresent();
    if (!isUsable) {
      snapshot =
          Optional.of(new ControlMessage.StateSnapshot(state.appliedIndex(), state.toSnapshot()));
    }
    return snapshot.get();
  }

  /**
   * Retains a committed command and sends it to all subscribers whose subscription has not expired.
   *
   * @param nowNanos monotonic time
   * @param delta the command
   * @return the messages to send
   */
  List<InstanceEffect> publish(long nowNanos, ControlMessage.StateDelta delta) {
    retain(delta);
    expiryNanosByInstance.values().removeIf(expiryNanos -> nowNanos - expiryNanos >= 0);
    List<InstanceEffect> effects = new ArrayList<>(expiryNanosByInstance.size());
    for (InstanceId subscriber : expiryNanosByInstance.keySet()) {
      effects.add(new InstanceEffect.SendMessage(subscriber, delta));
    }
    return effects;
  }

  private void retain(ControlMessage.StateDelta delta) {
    retainedDeltas.addLast(delta);
    retainedBytes += delta.bytes().length;
    while (retainedDeltas.size() > MAX_RETAINED_DELTAS || retainedBytes > MAX_RETAINED_BYTES) {
      retainedBytes -= retainedDeltas.removeFirst().bytes().length;
    }
  }

  /** Returns the size of the retained commands. */
  long retainedBytes() {
    return retainedBytes;
  }

  /** Removes the retained commands, which do not lead to the state of an installed snapshot. */
  void clearRetained() {
    retainedDeltas.clear();
    retainedBytes = 0;
    snapshot = Optional.empty();
  }
}
