package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Copy of the control state on an instance without a disk, fed by one control member. */
final class StateFollower {
  private static final long KEEP_ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final List<InstanceId> members;
  private final Address linkAddress;
  private int source;
  private long nextSubscribeNanos;

  /**
   * Makes a follower.
   *
   * @param members the control members
   * @param self this instance; its name spreads followers over the members
   * @param linkAddress address on which members connect to this instance
   * @param nowNanos monotonic time
   */
  StateFollower(List<InstanceId> members, InstanceId self, Address linkAddress, long nowNanos) {
    this.members = List.copyOf(members);
    this.linkAddress = linkAddress;
    this.source = Math.floorMod(self.hashCode(), members.size());
    this.nextSubscribeNanos = nowNanos;
  }

  /**
   * Subscribes when due, at another member when this one lags.
   *
   * @param nowNanos monotonic time
   * @param appliedIndex index that this instance has applied
   * @param lease tells whether the state lags
   * @return the subscription, or empty when not due
   */
  Optional<InstanceEffect> subscriptionDue(long nowNanos, long appliedIndex, LeaseClient lease) {
    if (nowNanos - nextSubscribeNanos < 0) {
      return Optional.empty();
    }
    boolean behind = lease.isBehind(nowNanos, RETRY_NANOS);
    if (behind) {
      source = (source + 1) % members.size();
    }
    nextSubscribeNanos = nowNanos + (behind ? RETRY_NANOS : KEEP_ALIVE_NANOS);
    return Optional.of(
        new InstanceEffect.SendMessage(
            members.get(source), new ControlMessage.Subscribe(appliedIndex, linkAddress)));
  }

  /**
   * Applies a command when it follows the state directly.
   *
   * @param nowNanos monotonic time
   * @param state the present state
   * @param delta the command
   * @return the new state, or empty when the command is old or leaves a gap
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
   * Takes a whole state when it is newer.
   *
   * @param state the present state
   * @param snapshot the state of a member
   * @return the new state, or empty when the snapshot is not newer
   */
  Optional<ControlState> install(ControlState state, ControlMessage.StateSnapshot snapshot) {
    return snapshot.index() > state.appliedIndex()
        ? Optional.of(ControlState.fromSnapshot(snapshot.bytes()))
        : Optional.empty();
  }
}
