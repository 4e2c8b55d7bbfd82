package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.RenewalAck;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Measures how the costs of the control state and of its messages grow with the size of the fleet.
 *
 * <p>Each printed line {@code name,axis,fixed,slope,residual} is a linear fit of one cost over the
 * values of one axis; the residual is the largest relative deviation from it, in percent.
 */
final class ControlSlopes {
  private static final int REPEATS = 2_000;
  private static final int TICK_REPEATS = 30;

  private ControlSlopes() {}

  public static void main(String[] arguments) {
    System.out.println("# name,axis,fixed,slope,largest residual in percent");
    int[] reports = {1, 4, 16, 64};
    printSlope("renewal-bytes", "targets-per-instance", reports, point -> renewalBytes(point));
    printSlope(
        "renewal-codec-micros",
        "targets-per-instance",
        reports,
        point -> renewalCodecMicros(point));
    printSlope("renewal-ack-bytes", "none", new int[] {1, 2, 3}, point -> ackBytes());
    int[] targets = {256, 1_024, 4_096};
    printSlope("supervisor-renewal-micros", "targets", targets, point -> renewalMicros(point));
    printSlope("supervisor-tick-micros", "targets", targets, point -> tickMicros(point));
    printSlope(
        "snapshot-bytes", "targets", targets, point -> cluster(point, 4_096).toSnapshot().length);
    printSlope("state-heap-bytes", "targets", targets, point -> heapBytes(point, 4_096));
    int[] slots = {16_384, 65_536, 262_144};
    printSlope(
        "snapshot-slot-bytes",
        "hash-slots",
        slots,
        point -> cluster(64, point).toSnapshot().length);
    printSlope("state-slot-heap-bytes", "hash-slots", slots, point -> heapBytes(64, point));
    int[] movedSlots = {1, 8, 64};
    printSlope("assign-bytes", "hash-slots-moved", movedSlots, point -> assignBytes(point));
    printSlope("grant-bytes", "none", new int[] {1, 2, 3}, point -> grantBytes());
    printSlope("apply-grant-micros", "targets", targets, point -> applyMicros(point));
  }

  private static void printSlope(
      String name, String axis, int[] points, IntToDoubleFunction measure) {
    measure.applyAsDouble(points[0]);
    double[] values = IntStream.of(points).mapToDouble(measure).toArray();
    double meanX = IntStream.of(points).average().orElse(0);
    double meanY =
        IntStream.range(0, values.length).mapToDouble(i -> values[i]).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < points.length; i++) {
      covariance += (points[i] - meanX) * (values[i] - meanY);
      variance += (points[i] - meanX) * (points[i] - meanX);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    double fixed = meanY - slope * meanX;
    double residual = 0;
    for (int i = 0; i < points.length; i++) {
      double expected = fixed + slope * points[i];
      residual = Math.max(residual, Math.abs(values[i] - expected) / Math.max(1e-9, values[i]));
    }
    System.out.printf("%s,%s,%.3f,%.6f,%.1f%n", name, axis, fixed, slope, residual * 100);
  }

  private static ControlState cluster(int targets, int hashSlots) {
    Fixtures.CommandLog log = Fixtures.cluster(Math.max(3, targets / 32), targets, hashSlots);
    for (int number = 0; number < targets; number++) {
      List<Integer> slots = new ArrayList<>();
      for (int slot = number; slot < hashSlots; slot += targets) {
        slots.add(slot);
      }
      log.apply(Fixtures.assign(number, slots.toArray(Integer[]::new)));
    }
    return log.state();
  }

  private static Renewal renewal(int firstTarget, int reports, long fence, long index) {
    List<TargetReport> targetReports = new ArrayList<>();
    for (int number = firstTarget; number < firstTarget + reports; number++) {
      targetReports.add(Fixtures.report(number, fence, TargetCondition.HEALTHY));
    }
    return new Renewal(
        Fixtures.instance(0), "mx8szn33.1", 123_456_789_012L, index, false, targetReports);
  }

  private static double renewalBytes(int reports) {
    return ControlCodec.encode(renewal(0, reports, 123_456, 123_456)).length;
  }

  private static double ackBytes() {
    return ControlCodec.encode(
            new RenewalAck(Fixtures.instance(0), "mx8szn33.1", 123_456_789_012L, 400, 123_456))
        .length;
  }

  private static double renewalCodecMicros(int reports) {
    Renewal renewal = renewal(0, reports, 123_456, 123_456);
    return medianMicros(
        REPEATS, repeat -> ControlCodec.decode(ControlCodec.encode(renewal), Renewal.class));
  }

  private static double renewalMicros(int targets) {
    ControlState state = cluster(targets, 4_096);
    Supervisor supervisor = new Supervisor();
    supervisor.apply(new SupervisorEvent.LeadershipGained(0, state));
    Renewal renewal =
        new Renewal(Fixtures.instance(0), "s", 1, state.appliedIndex(), false, List.of());
    return medianMicros(
        REPEATS,
        repeat -> supervisor.apply(new SupervisorEvent.RenewalReceived(repeat + 1L, renewal)));
  }

  private static double tickMicros(int targets) {
    ControlState state = cluster(targets, 4_096);
    Supervisor supervisor = new Supervisor();
    supervisor.apply(new SupervisorEvent.LeadershipGained(0, state));
    return medianMicros(
        TICK_REPEATS,
        repeat -> supervisor.apply(new SupervisorEvent.Tick((repeat + 1) * 10_000_000L)));
  }

  private static double assignBytes(int slotCount) {
    Integer[] slots = IntStream.range(1_000, 1_000 + slotCount).boxed().toArray(Integer[]::new);
    return ControlCodec.encode(Fixtures.assign(1, slots)).length;
  }

  private static double grantBytes() {
    return ControlCodec.encode(
            new Command.GrantDispatch(
                Fixtures.target(1), Fixtures.instance(1), "mx8szn33.1", "fewest targets"))
        .length;
  }

  private static double applyMicros(int targets) {
    ControlState state = cluster(targets, 4_096);
    DispatchGrant grant = state.target(Fixtures.target(1)).orElseThrow().grant().orElseThrow();
    Command revoke = new Command.RevokeDispatch(Fixtures.target(1), grant.fence(), 0, "measured");
    return medianMicros(REPEATS, repeat -> state.apply(state.appliedIndex() + 1, revoke));
  }

  private static double heapBytes(int targets, int hashSlots) {
    long before = usedBytes();
    ControlState state = ControlState.fromSnapshot(cluster(targets, hashSlots).toSnapshot());
    long after = usedBytes();
    if (state.appliedIndex() == 0) {
      throw new AssertionError("the restored state is empty");
    }
    return after - before;
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double medianMicros(int repeats, java.util.function.IntConsumer action) {
    for (int i = 0; i < repeats; i++) {
      action.accept(i);
    }
    long[] nanos = new long[repeats];
    for (int i = 0; i < repeats; i++) {
      long startNanos = System.nanoTime();
      action.accept(repeats + i);
      nanos[i] = System.nanoTime() - startNanos;
    }
    java.util.Arrays.sort(nanos);
    return nanos[repeats / 2] / 1_000.0;
  }
}
