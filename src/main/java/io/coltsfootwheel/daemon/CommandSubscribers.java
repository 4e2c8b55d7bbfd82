package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Instances that receive the committed commands from this control member. */
final class CommandSubscribers {
  private static final int RETAINED_DELTAS = 4_096;
  private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final TreeMap<InstanceId, Long> expiryNanosByInstance = new TreeMap<>();
  private final Deque<ControlMessage.StateDelta> retained = new ArrayDeque<>();

  /**
   * Adds or renews a subscription and brings the subscriber up to date.
   *
   * @param nowNanos monotonic time
   * @param instance the subscriber
   * @param appliedIndex index that it has applied
   * @param state the state of this member
   * @return the messages to send
   */
  List<InstanceEffect> subscribe(
      long nowNanos, InstanceId instance, long appliedIndex, ControlState state) {
    expiryNanosByInstance.put(instance, nowNanos + EXPIRY_NANOS);
    if (appliedIndex >= state.appliedIndex()) {
      return List.of();
    }
    boolean isRetained = retained.stream().anyMatch(d -> d.previousIndex() == appliedIndex);
    if (!isRetained) {
      return List.of(
          new InstanceEffect.SendMessage(
              instance,
              new ControlMessage.StateSnapshot(state.appliedIndex(), state.toSnapshot())));
    }
    List<InstanceEffect> effects = new ArrayList<>();
    retained.stream()
        .filter(d -> d.previousIndex() >= appliedIndex)
        .forEach(d -> effects.add(new InstanceEffect.SendMessage(instance, d)));
    return effects;
  }

  /**
   * Sends a committed command to all subscribers.
   *
   * @param nowNanos monotonic time
   * @param delta the command
   * @return the messages to send
   */
  List<InstanceEffect> publish(long nowNanos, ControlMessage.StateDelta delta) {
    retained.addLast(delta);
    if (retained.size() > RETAINED_DELTAS) {
      retained.removeFirst();
    }
    expiryNanosByInstance.values().removeIf(expiry -> nowNanos - expiry >= 0);
    List<InstanceEffect> effects = new ArrayList<>(expiryNanosByInstance.size());
    for (InstanceId subscriber : expiryNanosByInstance.keySet()) {
      effects.add(new InstanceEffect.SendMessage(subscriber, delta));
    }
    return effects;
  }

  /** Forgets the retained commands after the state was replaced by a snapshot. */
  void reset() {
    retained.clear();
  }
}
