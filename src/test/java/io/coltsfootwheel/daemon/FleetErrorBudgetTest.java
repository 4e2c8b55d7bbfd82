package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.edge.CallerRequest;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.settings.Objective;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import reactor.test.StepVerifier;

class FleetErrorBudgetTest {
  private static final ServiceName LEDGER = ServiceName.of("ledger");
  private static final Map<ServiceName, Objective> OBJECTIVES =
      Map.of(LEDGER, new Objective(0.99, 250, 60, 100));

  private final AtomicLong nowMillis = new AtomicLong(1_000_000);
  private final ControlState state = fleet("a", "b", "c");

  /**
   * Guards against a report that contains the counts of the queried instance only, without naming
   * the missing instances.
   */
  @Test
  void requestsOfAllInstancesAreSummedAndUnresponsiveOnesNamed() {
    RequestRecorder ofA = recorder();
    RequestRecorder ofB = recorder();
    answer(ofA, 10);
    answer(ofB, 10);
    ofB.recordRefused(request(), ErrorKind.NO_OWNER);
    ofB.recordRefused(request(), ErrorKind.RATE_LIMITED);
    FleetErrorBudget[] querying = new FleetErrorBudget[1];
    FleetErrorBudget answering =
        new FleetErrorBudget(
            InstanceId.of("b"),
            OBJECTIVES,
            () -> state,
            ofB,
            (to, m) -> querying[0].receive(InstanceId.of("b"), m));
    querying[0] =
        new FleetErrorBudget(
            InstanceId.of("a"),
            OBJECTIVES,
            () -> state,
            ofA,
            (to, m) -> {
              if (to.equals(InstanceId.of("b"))) {
                answering.receive(InstanceId.of("a"), m);
              }
            });
    assertThat(answering.receive(InstanceId.of("a"), new ControlMessage.Join("d"))).isFalse();
    StepVerifier.withVirtualTime(querying[0]::queryFleet)
        .thenAwait(Duration.ofSeconds(2))
        .assertNext(
            burn -> {
              OperatorApi.BurnWindow window = burn.services().get(0).windows().get(0);
              assertThat(window.answered()).isEqualTo(2);
              assertThat(window.notRun()).isEqualTo(1);
              // Requests refused because a customer exceeds its plan must not use up the error
              // budget.
              assertThat(window.lost()).isEqualTo(1);
              assertThat(window.refused()).isEqualTo(1);
              assertThat(window.unavailableMillis()).isEqualTo(100);
              assertThat(burn.instances()).containsExactly("a", "b");
              assertThat(burn.missing()).containsExactly("c");
            })
        .verifyComplete();
  }

  /**
   * Guards against answers after the time of the objective that count as in time because they
   * precede the deadline of the caller.
   */
  @Test
  void answerAfterTheObjectiveIsLate() {
    RequestRecorder recorder = recorder();
    answer(recorder, 251);
    assertThat(recorder.window(LEDGER, 300).late()).isEqualTo(1);
  }

  private void answer(RequestRecorder recorder, long millis) {
    CallerRequest request = request();
    nowMillis.addAndGet(millis);
    recorder.recordAnswered(request, TargetId.of("t"));
  }

  private RequestRecorder recorder() {
    return new RequestRecorder(
        new SimpleMeterRegistry(),
        () -> TimeUnit.MILLISECONDS.toNanos(nowMillis.get()),
        OBJECTIVES);
  }

  private CallerRequest request() {
    return new CallerRequest(
        1,
        LEDGER,
        Optional.of("k"),
        Optional.empty(),
        Optional.empty(),
        false,
        10_000,
        TimeUnit.MILLISECONDS.toNanos(nowMillis.get()),
        "GET",
        "/",
        List.of(),
        new byte[0]);
  }

  private static ControlState fleet(String... instances) {
    Address address = Address.parse("127.0.0.1:1");
    ControlState state =
        ControlState.empty()
            .apply(
                1,
                new Command.RegisterService(
                    new ServiceSpec(LEDGER, true, 4, MovePolicy.AVAILABILITY)))
            .state();
    for (String id : instances) {
      InstanceSpec spec =
          new InstanceSpec(InstanceId.of(id), AvailabilityZone.of("z"), address, address, "s");
      state = state.apply(state.appliedIndex() + 1, new Command.RegisterInstance(spec)).state();
    }
    return state;
  }
}
