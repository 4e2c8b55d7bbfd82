package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.RouteKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetChooserTest {
  private static final ServiceName SERVICE = ServiceName.of("s");
  private static final TargetId FIRST = TargetId.of("t0");

  private final TargetChooser chooser =
      new TargetChooser(RandomSource.SPLIT_MIX_64.create(1), AvailabilityZone.of("z0"), 2_000);

  static FleetRouting routing(int targets, boolean granted, int readyInMillis) {
    List<OwnershipView.Target> list = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      list.add(
          new OwnershipView.Target(
              TargetId.of("t" + i),
              SERVICE,
              new Address("10.0.0.1", 1_000 + i),
              AvailabilityZone.of("z" + i),
              2,
              TargetPhase.READY));
    }
    FleetRouting routing = new FleetRouting();
    routing.update(
        new OwnershipView(
            list,
            List.of(new OwnershipView.Range(SERVICE, KeyRange.ALL, FIRST, granted, readyInMillis))),
        0);
    return routing;
  }

  /** Returns the first target with requests of other entries in flight. */
  static TargetStats owner(FleetRouting routing, int inFlight) {
    routing.update(Map.of(FIRST, new TargetLoadEstimate(inFlight, 100)), 1);
    return routing.target(FIRST).orElseThrow();
  }

  static Demand demand(int priority, long leftMillis, long objectiveMillis) {
    return new Demand(SERVICE, RouteKind.SAFE, priority, 1, leftMillis, objectiveMillis);
  }

  /**
   * Load pattern: one hot key receives three times what its owner can serve. Guards against a queue
   * in which every request becomes late: what is taken is answered within the objective.
   */
  @ParameterizedTest
  @CsvSource({"0", "1", "2"})
  void overloadedOwnerAnswersWhatItTakesInTime(int priority) {
    FleetRouting routing = routing(1, true, 0);
    TargetStats owner = routing.target(FIRST).orElseThrow();
    routing.update(Map.of(FIRST, new TargetLoadEstimate(0, 100)), 1);
    long objectiveMillis = 400;
    double[] slotFreeMillis = new double[2];
    List<Double> endings = new ArrayList<>();
    int inTime = 0;
    int refused = 0;
    for (double now = 0; now < 10_000; now += 16.7) {
      double present = now;
      while (endings.stream().anyMatch(e -> e <= present)) {
        endings.remove(endings.stream().filter(e -> e <= present).findFirst().orElseThrow());
        owner.answered();
      }
      Decision decision = chooser.chooseOwner(routing, 5, demand(priority, 1_000, 400));
      if (decision instanceof Decision.Send) {
        int slot = slotFreeMillis[0] <= slotFreeMillis[1] ? 0 : 1;
        double end = Math.max(now, slotFreeMillis[slot]) + 100;
        slotFreeMillis[slot] = end;
        endings.add(end);
        owner.sent();
        inTime += end - now <= objectiveMillis ? 1 : 0;
      } else {
        refused++;
      }
    }
    assertThat(inTime).isGreaterThan(190);
    assertThat(refused).isGreaterThan(300);
  }

  /** Guards against less urgent requests that take the room of more urgent ones. */
  @Test
  void lessUrgentRequestsAreRefusedEarlier() {
    FleetRouting routing = routing(1, true, 0);
    routing.update(Map.of(FIRST, new TargetLoadEstimate(5, 110)), 1);
    assertThat(chooser.chooseOwner(routing, 5, demand(1, 1_000, 400)))
        .isInstanceOf(Decision.Send.class);
    assertThat(chooser.chooseOwner(routing, 5, demand(3, 1_000, 400)))
        .isInstanceOf(Decision.Refuse.class);
  }

  /** Guards against requests that wait for a key which will not be held in their time. */
  @ParameterizedTest
  @CsvSource({"200, 1000, Wait", "900, 1000, Refuse", "200, 100, Refuse"})
  void requestWaitsForItsKeyOnlyAsLongAsItCanBeServed(
      int readyInMillis, long leftMillis, String expected) {
    Decision decision =
        chooser.chooseOwner(routing(1, false, readyInMillis), 5, demand(1, leftMillis, leftMillis));
    assertThat(decision.getClass().getSimpleName()).isEqualTo(expected);
  }

  /** Guards against requests to a target that does not answer, while others do. */
  @Test
  void silentTargetIsAvoided() {
    FleetRouting routing = routing(2, true, 0);
    TargetStats silent = routing.target(FIRST).orElseThrow();
    for (int i = 0; i < 2; i++) {
      silent.sent();
      silent.failed(1);
    }
    Decision decision = chooser.chooseAny(routing, Set.of(), demand(1, 1_000, 400));
    assertThat(((Decision.Send) decision).target().spec().id()).isEqualTo(TargetId.of("t1"));
  }

  /** Guards against downloads that cross zones while the own zone has room. */
  @Test
  void downloadStaysInItsZone() {
    FleetRouting routing = routing(3, true, 0);
    Demand download = new Demand(SERVICE, RouteKind.DOWNLOAD, 1, 1, 1_000, 400);
    for (int i = 0; i < 20; i++) {
      Decision decision = chooser.chooseAny(routing, Set.of(), download);
      assertThat(((Decision.Send) decision).target().spec().id()).isEqualTo(FIRST);
    }
  }
}
