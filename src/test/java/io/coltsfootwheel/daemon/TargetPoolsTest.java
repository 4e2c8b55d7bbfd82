package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.edge.TargetClient;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetPoolsTest {
  private static final InstanceId SELF = InstanceId.of("entry-1");
  private static final Address ADDRESS = new Address("127.0.0.1", 9_001);
  private static final AvailabilityZone ZONE = AvailabilityZone.of("z");
  private static final ServiceName SERVICE = ServiceName.of("ledger");
  private static final TargetId TARGET = TargetId.of("t1");

  private final List<Integer> openedSizes = new ArrayList<>();
  private final TargetClient client =
      (TargetClient)
          Proxy.newProxyInstance(
              TargetClient.class.getClassLoader(),
              new Class<?>[] {TargetClient.class},
              (proxy, method, arguments) -> {
                if (method.getName().equals("open")) {
                  openedSizes.add((Integer) arguments[2]);
                }
                return null;
              });

  /** Guards against a pool whose size follows the slots of the first announcement for good. */
  @ParameterizedTest
  @CsvSource({"2, 6, 8 24", "6, 2, 24 8", "40, 50, 120"})
  void sizeOfAPoolFollowsTheSlots(int before, int after, String expectedSizes) {
    TargetPools pools = new TargetPools(SELF, client);
    ControlState state = ControlState.empty();
    List<Command> commands =
        List.of(
            new Command.RegisterService(
                new ServiceSpec(SERVICE, false, 0, MovePolicy.AVAILABILITY)),
            new Command.RegisterInstance(new InstanceSpec(SELF, ZONE, ADDRESS, ADDRESS, "s")),
            announcement(before),
            new Command.GrantDispatch(TARGET, SELF, "s", "test"));
    for (Command command : commands) {
      state = state.apply(state.appliedIndex() + 1, command).state();
    }
    pools.update(state);
    pools.update(state.apply(state.appliedIndex() + 1, announcement(after)).state());
    assertThat(openedSizes.toString()).isEqualTo("[" + expectedSizes.replace(" ", ", ") + "]");
  }

  private static Command announcement(int slots) {
    return new Command.AnnounceTarget(
        new TargetSpec(TARGET, SERVICE, ADDRESS, ZONE, slots, 120, true, false, "i1"));
  }
}
