package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Instances that subscribe to the committed commands at this control member. */
final class CommandSubscribers {
  private static final int MAX_RETAINED_DELTAS = 4_096;
  private static final long SUBSCRIPTION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final TreeMap<InstanceId, Long> expiryNanosByInstance = new TreeMap<>();
  private final Deque<ControlMessage.StateDelta> retainedDeltas = new ArrayDeque<>();

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
    boolean continuesAtIndex =
        retainedDeltas.stream().anyMatch(delta -> delta.previousIndex() == appliedIndex);
    if (!continuesAtIndex) {
      return List.of(
          new InstanceEffect.SendMessage(
              instance,
              new ControlMessage.StateSnapshot(state.appliedIndex(), state.toSnapshot())));
    }
    List<InstanceEffect> effects = new ArrayList<>();
    retainedDeltas.stream()
        .filter(delta -> delta.previousIndex() >= appliedIndex)
        .forEach(delta -> effects.add(new InstanceEffect.SendMessage(instance, delta)));
    return effects;
  }

  /**
   * Retains a committed command and sends it to all subscribers whose subscription has not expired.
   *
   * @param nowNanos monotonic time
   * @param delta the command
   * @return the messages to send
   */
  List<InstanceEffect> publish(long nowNanos, ControlMessage.StateDelta delta) {
    retainedDeltas.addLast(delta);
    if (retainedDeltas.size() > MAX_RETAINED_DELTAS) {
      retainedDeltas.removeFirst();
    }
    expiryNanosByInstance.values().removeIf(expiryNanos -> nowNanos - expiryNanos >= 0);
    List<InstanceEffect> effects = new ArrayList<>(expiryNanosByInstance.size());
    for (InstanceId subscriber : expiryNanosByInstance.keySet()) {
      effects.add(new InstanceEffect.SendMessage(subscriber, delta));
    }
    return effects;
  }

  /** Removes the retained commands, which do not lead to the state of an installed snapshot. */
  void clearRetained() {
    retainedDeltas.clear();
  }
}
