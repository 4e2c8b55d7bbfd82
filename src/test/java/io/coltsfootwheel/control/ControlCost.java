package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Fixtures.CommandLog;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Measures the time of commands, the supervisor and snapshots, and the size of snapshots, for a
 * small and a large fleet. Run its main method.
 */
final class ControlCost {
  private static final int WARM_UP_RUNS = 2_000;
  private static final int MEASURED_RUNS = 2_000;

  private ControlCost() {}

  public static void main(String[] arguments) {
    measure(12, 32, 1_024);
    measure(3_800, 12_000, 65_536);
  }

  private static void measure(int instances, int targets, int hashSlots) {
    CommandLog log = Fixtures.cluster(instances, targets, hashSlots);
    for (int number = 0; number < targets; number++) {
      List<Integer> slots = new ArrayList<>();
      for (int slot = number; slot < hashSlots; slot += targets) {
        slots.add(slot);
      }
      log.apply(Fixtures.assign(number, slots.toArray(Integer[]::new)));
    }
    System.out.printf("%d instances, %d targets, %d hash slots%n", instances, targets, hashSlots);
    ControlState state = log.state();
    measureCommands("AdvanceStamp", state, run -> List.of(new Command.AdvanceStamp()));
    measureCommands("BeginHandover of 1 slot", state, run -> List.of(beginHandover(0, List.of(0))));
    measureCommands("begin and complete 1 slot", state, run -> beginAndComplete(state));
    int grantsPerInstance = targets / instances + 1;
    measureCommands(
        "ExpireSession of about " + grantsPerInstance + " grants",
        state,
        run -> List.of(expireSession(state)));
    measureCommands("revoke and grant", state, run -> regrant(state, run % targets));
    byte[] snapshot = state.toSnapshot();
    long startNanos = System.nanoTime();
    ControlState.fromSnapshot(state.toSnapshot());
    long codecMicros = (System.nanoTime() - startNanos) / 1_000;
    measureSupervisor(state, instances, targets);
    System.out.printf("  snapshot %d bytes, write and read %d us%n", snapshot.length, codecMicros);
  }

  private static void measureSupervisor(ControlState state, int instances, int targets) {
    Supervisor supervisor = new Supervisor();
    supervisor.apply(new SupervisorEvent.LeadershipGained(0, state));
    List<Long> tickNanos = new ArrayList<>();
    long nanosPerRenewal = 0;
    for (int round = 1; round <= 50; round++) {
      long nowNanos = round * 100_000_000L;
      List<Renewal> renewals =
          IntStream.range(0, instances)
              .mapToObj(instance -> renewal(state, instance, instances, targets, nowNanos))
              .toList();
      long startNanos = System.nanoTime();
      renewals.forEach(
          renewal -> supervisor.apply(new SupervisorEvent.RenewalReceived(nowNanos, renewal)));
      nanosPerRenewal = (System.nanoTime() - startNanos) / instances;
      startNanos = System.nanoTime();
      supervisor.apply(new SupervisorEvent.Tick(nowNanos + 1));
      tickNanos.add(System.nanoTime() - startNanos);
    }
    long medianTickNanos = tickNanos.stream().sorted().toList().get(25);
    System.out.printf(
        "  supervisor: tick median %.1f us, renewal mean of the last round %.2f us%n",
        medianTickNanos / 1_000.0, nanosPerRenewal / 1_000.0);
  }

  private static Renewal renewal(
      ControlState state, int instance, int instances, int targets, long nowNanos) {
    List<TargetReport> reports = new ArrayList<>();
    for (int number = instance; number < targets; number += instances) {
      long fence =
          state.target(Fixtures.target(number)).orElseThrow().grant().orElseThrow().fence().value();
      reports.add(Fixtures.report(number, fence, TargetCondition.HEALTHY));
    }
    return new Renewal(
        Fixtures.instance(instance), "s", nowNanos, state.appliedIndex(), false, reports);
  }

  private static List<Command> beginAndComplete(ControlState state) {
    return List.of(
        beginHandover(0, List.of(0)),
        new Command.CompleteHandover(
            Fixtures.LEDGER,
            List.of(0),
            Fixtures.target(0),
            Fixtures.target(1),
            state.appliedIndex() + 1));
  }

  private static Command beginHandover(int from, List<Integer> slots) {
    return new Command.BeginHandover(
        Fixtures.LEDGER, slots, Fixtures.target(from), Fixtures.target(1), false, "cost");
  }

  private static Command expireSession(ControlState state) {
    long registeredIndex = state.registeredIndex(Fixtures.instance(0));
    return new Command.ExpireSession(Fixtures.instance(0), "s", registeredIndex, "cost");
  }

  private static List<Command> regrant(ControlState state, int number) {
    DispatchGrant grant = state.target(Fixtures.target(number)).orElseThrow().grant().orElseThrow();
    return List.of(
        new Command.RevokeDispatch(Fixtures.target(number), grant.fence(), 0, "cost"),
        new Command.GrantDispatch(Fixtures.target(number), grant.holder(), "s", "cost"));
  }

  private static void measureCommands(
      String label, ControlState state, IntFunction<List<Command>> commands) {
    measureSortedNanos(state, commands, WARM_UP_RUNS);
    long[] nanos = measureSortedNanos(state, commands, MEASURED_RUNS);
    System.out.printf(
        "  %s: median %.1f us, p99 %.1f us%n",
        label, nanos[MEASURED_RUNS / 2] / 1_000.0, nanos[MEASURED_RUNS * 99 / 100] / 1_000.0);
  }

  private static long[] measureSortedNanos(
      ControlState state, IntFunction<List<Command>> commands, int runs) {
    return IntStream.range(0, runs)
        .mapToLong(run -> measureOnceNanos(state, commands.apply(run)))
        .sorted()
        .toArray();
  }

  private static long measureOnceNanos(ControlState state, List<Command> commands) {
    ControlState current = state;
    long startNanos = System.nanoTime();
    for (Command command : commands) {
      ControlState.Applied applied = current.apply(current.appliedIndex() + 1, command);
      if (!(applied.result() instanceof CommandResult.Accepted)) {
        throw new AssertionError(command + " -> " + applied.result());
      }
      current = applied.state();
    }
    return System.nanoTime() - startNanos;
  }
}
