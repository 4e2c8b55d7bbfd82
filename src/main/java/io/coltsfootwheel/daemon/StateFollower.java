package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Follows the control state on an instance without a disk, through a subscription at one control
 * member.
 */
final class StateFollower {
  private static final long KEEP_ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  private final List<InstanceId> members;
  private final Address linkAddress;
  private int sourceIndex;
  private long nextSubscribeNanos;
  private long retryNanos = RETRY_NANOS;
  private long lastAppliedIndex;

  /**
   * Creates a follower that subscribes at once.
   *
   * @param members the control members
   * @param self this instance; the hash of its name selects the first member, which spreads the
   *     followers over the members
   * @param linkAddress address on which members connect to this instance
   * @param nowNanos monotonic time
   */
  StateFollower(List<InstanceId> members, InstanceId self, Address linkAddress, long nowNanos) {
    this.members = List.copyOf(members);
    this.linkAddress = linkAddress;
    this.sourceIndex = Math.floorMod(self.hashCode(), members.size());
    this.nextSubscribeNanos = nowNanos;
  }

  /**
   * Returns the next subscription when it is due. It goes to the next member when the state may lag
   * behind the leader, each time later while nothing arrives: the whole state may be under way.
   *
   * @param nowNanos monotonic time
   * @param appliedIndex index that this instance has applied
   * @param lease knows whether the state may lag
   * @return the subscription, or empty when not due
   */
  Optional<InstanceEffect> subscriptionIfDue(long nowNanos, long appliedIndex, LeaseClient lease) {
    recordProgress(nowNanos, appliedIndex);
    if (nowNanos - nextSubscribeNanos < 0) {
      return Optional.empty();
    }
    boolean behind = lease.isBehind(nowNanos, RETRY_NANOS);
    nextSubscribeNanos = nowNanos + (behind ? retryNanos : KEEP_ALIVE_NANOS);
    if (behind) {
      sourceIndex = (sourceIndex + 1) % members.size();
      retryNanos = Math.min(MAX_RETRY_NANOS, 2 * retryNanos);
    } else {
      retryNanos = RETRY_NANOS;
    }
    return Optional.of(
        new InstanceEffect.SendMessage(
            members.get(sourceIndex), new ControlMessage.Subscribe(appliedIndex, linkAddress)));
  }

  private void recordProgress(long nowNanos, long appliedIndex) {
    if (appliedIndex > lastAppliedIndex && retryNanos > RETRY_NANOS) {
      retryNanos = RETRY_NANOS;
      nextSubscribeNanos = Math.min(nextSubscribeNanos, nowNanos + RETRY_NANOS);
    }
    lastAppliedIndex = appliedIndex;
  }

  /**
   * Applies a command when it directly follows the state; a gap makes a new subscription due at
   * once.
   *
   * @param nowNanos monotonic time
   * @param state the current state
   * @param delta the command
   * @return the new state, or empty when the command is already applied or not the next one
   */
  Optional<ControlState> apply(long nowNanos, ControlState state, ControlMessage.StateDelta delta) {
    if (delta.index() <= state.appliedIndex()) {
      return Optional.empty();
    }
    if (delta.previousIndex() != state.appliedIndex()) {
      nextSubscribeNanos = nowNanos;
      return Optional.empty();
    }
    Command command = ControlCodec.decode(delta.bytes(), Command.class);
    return Optional.of(state.apply(delta.index(), command).state());
  }

  /**
   * Installs a whole state when it is newer.
   *
   * @param state the current state
   * @param snapshot the state of a member
   * @return the new state, or empty when the snapshot is not newer
   */
  Optional<ControlState> install(ControlState state, ControlMessage.StateSnapshot snapshot) {
    return snapshot.index() > state.appliedIndex()
        ? Optional.of(ControlState.fromSnapshot(snapshot.bytes()))
        : Optional.empty();
  }
}
