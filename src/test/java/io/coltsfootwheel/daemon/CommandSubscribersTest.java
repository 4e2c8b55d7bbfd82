package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whole states for followers that lack them all at the same time, as after a restart. */
class CommandSubscribersTest {
  private static final InstanceId FIRST = InstanceId.of("a");
  private static final InstanceId SECOND = InstanceId.of("b");
  private static final Address ADDRESS = new Address("10.0.0.1", 1);

  private final CommandSubscribers subscribers = new CommandSubscribers();

  private static Command registration(InstanceId id) {
    return new Command.RegisterInstance(
        new InstanceSpec(id, AvailabilityZone.of("z"), ADDRESS, ADDRESS, "s"));
  }

  private static ControlMessage.StateSnapshot snapshotIn(List<InstanceEffect> effects) {
    return (ControlMessage.StateSnapshot) ((InstanceEffect.SendMessage) effects.get(0)).message();
  }

  /**
   * Guards against a member that encodes its state once for each follower, so that its decisions
   * and heartbeats wait.
   */
  @Test
  void stateIsEncodedOnceForAllFollowers() {
    ControlState first = ControlState.empty().apply(1, registration(FIRST)).state();
    byte[] bytes = snapshotIn(subscribers.subscribe(0, FIRST, 0, first)).bytes();
    assertThat(snapshotIn(subscribers.subscribe(0, SECOND, 0, first)).bytes()).isSameAs(bytes);
    ControlState second = first.apply(2, registration(SECOND)).state();
    subscribers.publish(
        0, new ControlMessage.StateDelta(1, 2, ControlCodec.encode(registration(SECOND))));
    List<InstanceEffect> effects = subscribers.subscribe(0, SECOND, 0, second);
    assertThat(snapshotIn(effects).bytes()).isSameAs(bytes);
    assertThat(effects).hasSize(2);
    subscribers.clearRetained();
    assertThat(snapshotIn(subscribers.subscribe(0, SECOND, 0, second)).index()).isEqualTo(2);
  }

  /**
   * Guards against a member that keeps thousands of large commands for its followers, and sends
   * them all to one that was away.
   */
  @ParameterizedTest
  @CsvSource({"1000, 100", "112000, 37", "5000000, 0"})
  void retainedCommandsAreBoundedByTheirBytes(int commandBytes, int expectedDeltas) {
    for (int i = 1; i <= 100; i++) {
      subscribers.publish(0, new ControlMessage.StateDelta(i, i + 1, new byte[commandBytes]));
    }
    ControlState state = ControlState.empty().apply(101, registration(FIRST)).state();
    List<ControlMessage> sent =
        subscribers.subscribe(0, SECOND, 1, state).stream()
            .map(e -> ((InstanceEffect.SendMessage) e).message())
            .toList();
    long deltas = sent.stream().filter(ControlMessage.StateDelta.class::isInstance).count();
    boolean isWhole = sent.stream().anyMatch(ControlMessage.StateSnapshot.class::isInstance);
    assertThat(subscribers.retainedBytes()).isEqualTo((long) expectedDeltas * commandBytes);
    assertThat(isWhole).isEqualTo(expectedDeltas < 100);
    assertThat(deltas).isEqualTo(isWhole ? 0 : expectedDeltas);
  }

  /** Guards against followers that request a state again while it is under way to them. */
  @Test
  void stateThatIsUnderWayIsRequestedLessAndLessOften() {
    LeaseClient lease =
        new LeaseClient(
            new InstanceSpec(FIRST, AvailabilityZone.of("z"), ADDRESS, ADDRESS, "s"), 0);
    StateFollower follower = new StateFollower(List.of(FIRST, SECOND), FIRST, ADDRESS, 0);
    assertThat(requests(follower, lease, 0, 0, 6_000)).isLessThanOrEqualTo(8);
    assertThat(requests(follower, lease, 1, 6_000, 7_000)).isGreaterThanOrEqualTo(3);
  }

  private static long requests(
      StateFollower follower,
      LeaseClient lease,
      long appliedIndex,
      long fromMillis,
      long toMillis) {
    long requests = 0;
    for (long millis = fromMillis; millis < toMillis; millis += 20) {
      long nowNanos = TimeUnit.MILLISECONDS.toNanos(millis);
      requests += follower.subscriptionIfDue(nowNanos, appliedIndex, lease).isPresent() ? 1 : 0;
    }
    return requests;
  }
}
