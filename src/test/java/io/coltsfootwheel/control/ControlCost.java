package io.coltsfootwheel.control;

import io.coltsfootwheel.control.Fixtures.Log;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/** Measures the cost of commands and the size of snapshots; run its main method. */
final class ControlCost {
  private static final int WARM_UP = 2_000;
  private static final int RUNS = 2_000;

  private ControlCost() {}

  public static void main(String[] arguments) {
    measure(12, 32, 1_024);
    measure(3_800, 12_000, 65_536);
  }

  private static void measure(int instances, int targets, int hashSlots) {
    Log log = Fixtures.cluster(instances, targets, hashSlots);
    for (int n = 0; n < targets; n++) {
      List<Integer> slots = new ArrayList<>();
      for (int slot = n; slot < hashSlots; slot += targets) {
        slots.add(slot);
      }
      log.apply(Fixtures.assign(n, slots.toArray(Integer[]::new)));
    }
    System.out.printf("%d instances, %d targets, %d hash slots%n", instances, targets, hashSlots);
    ControlState state = log.state();
    time("AdvanceStamp", state, n -> List.of(new Command.AdvanceStamp()));
    time("BeginHandover of 1 slot", state, n -> List.of(begin(0, List.of(0))));
    time("begin and complete 1 slot", state, n -> beginAndComplete(state));
    int held = targets / instances + 1;
    time("ExpireSession of about " + held + " grants", state, n -> List.of(expire(state)));
    time("revoke and grant", state, n -> regrant(state, n % targets));
    byte[] snapshot = state.toSnapshot();
    long started = System.nanoTime();
    ControlState.fromSnapshot(state.toSnapshot());
    long micros = (System.nanoTime() - started) / 1_000;
    System.out.printf("  snapshot %d bytes, write and read %d us%n", snapshot.length, micros);
  }

  private static List<Command> beginAndComplete(ControlState state) {
    return List.of(
        begin(0, List.of(0)),
        new Command.CompleteHandover(
            Fixtures.LEDGER,
            List.of(0),
            Fixtures.target(0),
            Fixtures.target(1),
            state.appliedIndex() + 1));
  }

  private static Command begin(int from, List<Integer> slots) {
    return new Command.BeginHandover(
        Fixtures.LEDGER, slots, Fixtures.target(from), Fixtures.target(1), false, "cost");
  }

  private static Command expire(ControlState state) {
    long registered = state.registeredIndex(Fixtures.instance(0));
    return new Command.ExpireSession(Fixtures.instance(0), "s", registered, "cost");
  }

  private static List<Command> regrant(ControlState state, int n) {
    DispatchGrant grant = state.target(Fixtures.target(n)).orElseThrow().grant().orElseThrow();
    return List.of(
        new Command.RevokeDispatch(Fixtures.target(n), grant.fence(), 0, "cost"),
        new Command.GrantDispatch(Fixtures.target(n), grant.holder(), "s", "cost"));
  }

  private static void time(String what, ControlState state, IntFunction<List<Command>> commands) {
    run(state, commands, WARM_UP);
    long[] nanos = run(state, commands, RUNS);
    System.out.printf(
        "  %s: median %.1f us, p99 %.1f us%n",
        what, nanos[RUNS / 2] / 1_000.0, nanos[RUNS * 99 / 100] / 1_000.0);
  }

  private static long[] run(ControlState state, IntFunction<List<Command>> commands, int runs) {
    return IntStream.range(0, runs)
        .mapToLong(n -> once(state, commands.apply(n)))
        .sorted()
        .toArray();
  }

  private static long once(ControlState state, List<Command> commands) {
    ControlState current = state;
    long started = System.nanoTime();
    for (Command command : commands) {
      ControlState.Applied applied = current.apply(current.appliedIndex() + 1, command);
      if (!(applied.result() instanceof CommandResult.Accepted)) {
        throw new AssertionError(command + " -> " + applied.result());
      }
      current = applied.state();
    }
    return System.nanoTime() - started;
  }
}
