package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.dispatch.DispatchEffect;
import io.coltsfootwheel.dispatch.DispatchEvent;
import io.coltsfootwheel.dispatch.DispatchRequest;
import io.coltsfootwheel.dispatch.DispatchSettings;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.dispatch.EntrySettings;
import io.coltsfootwheel.dispatch.TargetReply;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.RenewalAck;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class InstanceShutdownTest {
  private static final InstanceId SELF = InstanceId.of("self");
  private static final InstanceId LEADER = InstanceId.of("leader");
  private static final Address ADDRESS = Address.parse("127.0.0.1:1");
  private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
  private static final ServiceName BOOKS = ServiceName.of("books");
  private static final TargetId TARGET = TargetId.of("t1");
  private static final Fence FENCE = Fence.of(4);
  private static final int LEASE_MILLIS = 400;
  private static final String REQUEST = "entry/session/1";

  private final LeaseClient lease =
      new LeaseClient(new InstanceSpec(SELF, ZONE, ADDRESS, ADDRESS, "session"), 0);
  private final InstanceReducer reducer =
      new InstanceReducer(
          SELF,
          List.of(LEADER),
          Optional.empty(),
          Optional.of(new StateFollower(List.of(LEADER), SELF, ADDRESS, 0)),
          lease,
          new RequestReducer(
              SELF,
              lease.session(),
              DispatchSettings.defaults(),
              new EntryRouter(SELF, "session", ZONE, EntrySettings.defaults(), 1)));

  /**
   * Guards against a shutdown that cuts requests of other entries while their target works on them,
   * because the lease ran out during the shutdown, for example at an overlapping stop of the
   * control leader.
   */
  @Test
  void shutdownWaitsForDispatchedRequestsAfterTheLeaseHasEnded() {
    receiveGrant();
    assertThat(apply(new DispatchEvent.RequestOffered(nanos(2), request())))
        .anyMatch(InstanceShutdownTest::isSend);
    reducer.apply(new InstanceEvent.ShutdownRequested(nanos(3)));
    long leaseEndedNanos = nanos(LEASE_MILLIS + 2_001);
    assertThat(reducer.apply(new InstanceEvent.Tick(leaseEndedNanos)))
        .doesNotHaveAnyElementsOfTypes(InstanceEffect.ShutdownReady.class);
    apply(
        new DispatchEvent.TargetReplied(leaseEndedNanos, REQUEST, new TargetReply.Completed(200)));
    assertThat(reducer.apply(new InstanceEvent.Tick(leaseEndedNanos)))
        .hasAtLeastOneElementOfType(InstanceEffect.ShutdownReady.class);
  }

  /**
   * Guards against a shutdown that ends while the control group still names this instance as
   * dispatcher, so that the requests that entries forward to it fail.
   */
  @Test
  void shutdownWaitsForTheLeaseToReturnItsGrants() {
    receiveGrant();
    reducer.apply(new InstanceEvent.ShutdownRequested(nanos(3)));
    assertThat(reducer.apply(new InstanceEvent.Tick(nanos(LEASE_MILLIS + 1))))
        .doesNotHaveAnyElementsOfTypes(InstanceEffect.ShutdownReady.class);
    assertThat(reducer.apply(new InstanceEvent.Tick(nanos(LEASE_MILLIS + 2_001))))
        .hasAtLeastOneElementOfType(InstanceEffect.ShutdownReady.class);
  }

  private void receiveGrant() {
    ControlState state =
        ControlState.empty()
            .apply(
                1, new Command.RegisterService(new ServiceSpec(BOOKS, false, 0, MovePolicy.CHURN)))
            .state()
            .apply(2, new Command.RegisterInstance(lease.registration()))
            .state()
            .apply(3, new Command.AnnounceTarget(target()))
            .state()
            .apply(4, new Command.GrantDispatch(TARGET, SELF, lease.session(), "test"))
            .state();
    receive(new ControlMessage.StateSnapshot(state.appliedIndex(), state.toSnapshot()));
    receive(
        new ControlMessage.RenewAck(
            new RenewalAck(SELF, lease.session(), 0, LEASE_MILLIS, state.appliedIndex())));
    reducer.apply(new InstanceEvent.Tick(nanos(1)));
    apply(new DispatchEvent.ProbeAnswered(nanos(1), TARGET));
  }

  private void receive(ControlMessage message) {
    reducer.apply(new InstanceEvent.MessageReceived(0, LEADER, message));
  }

  private List<InstanceEffect> apply(DispatchEvent event) {
    return reducer.apply(new InstanceEvent.Dispatch(event));
  }

  private static boolean isSend(InstanceEffect effect) {
    return effect instanceof InstanceEffect.Dispatch dispatch
        && dispatch.effect() instanceof DispatchEffect.SendToTarget;
  }

  private static DispatchRequest request() {
    return new DispatchRequest(
        REQUEST,
        BOOKS,
        TARGET,
        OptionalInt.empty(),
        Optional.empty(),
        false,
        Optional.empty(),
        nanos(60_000),
        FENCE,
        0);
  }

  private static TargetSpec target() {
    return new TargetSpec(TARGET, BOOKS, ADDRESS, ZONE, 2, 120, false, false, "x");
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
