package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Identifiers, specifications, commands and logs for the tests of this package. */
final class Fixtures {
  static final ServiceName LEDGER = ServiceName.of("card-ledger");
  private static final Address ADDRESS = Address.parse("127.0.0.1:8080");

  private Fixtures() {}

  static InstanceId instance(int number) {
    return InstanceId.of("entry-%04d".formatted(number));
  }

  static TargetId target(int number) {
    return TargetId.of("ledger-%05d".formatted(number));
  }

  static AvailabilityZone zone(int number) {
    return AvailabilityZone.of("zone-" + number % 3);
  }

  static InstanceSpec instanceSpec(int number, String session) {
    return new InstanceSpec(instance(number), zone(number), ADDRESS, ADDRESS, session);
  }

  static TargetSpec targetSpec(int number, int slots, String incarnation) {
    return new TargetSpec(
        target(number), LEDGER, ADDRESS, zone(number), slots, 120, true, false, incarnation);
  }

  static Command service(int hashSlots) {
    return new Command.RegisterService(
        new ServiceSpec(LEDGER, true, hashSlots, MovePolicy.AVAILABILITY));
  }

  static Command register(int number, String session) {
    return new Command.RegisterInstance(instanceSpec(number, session));
  }

  static Command announce(int number) {
    return new Command.AnnounceTarget(targetSpec(number, 2, "a"));
  }

  static Command grant(int target, int instance, String session) {
    return new Command.GrantDispatch(target(target), instance(instance), session, "test");
  }

  static Command assign(int target, Integer... slots) {
    return new Command.AssignSlots(LEDGER, target(target), List.of(slots), "test");
  }

  static TargetReport report(int target, long fence, TargetCondition condition) {
    return report(target, fence, condition, List.of());
  }

  static TargetReport report(
      int target, long fence, TargetCondition condition, List<Integer> released) {
    return new TargetReport(
        target(target), Fence.of(fence), condition, 0, 0, 0, released, List.of());
  }

  /** Returns how many hash slots each target owns, indexed by the number of the target. */
  static int[] ownedCounts(SlotOwnershipTable table, int targets) {
    Map<TargetId, Integer> counts = new HashMap<>();
    for (int slot = 0; slot < table.size(); slot++) {
      table.owner(slot).ifPresent(owner -> counts.merge(owner, 1, Integer::sum));
    }
    return IntStream.range(0, targets)
        .map(number -> counts.getOrDefault(target(number), 0))
        .toArray();
  }

  /** Control state to which each command is applied at the next log index. */
  static final class CommandLog {
    private ControlState state = ControlState.empty();
    private final List<CommandResult> results = new ArrayList<>();

    static CommandLog of(Command... commands) {
      CommandLog log = new CommandLog();
      for (Command command : commands) {
        log.apply(command);
      }
      return log;
    }

    CommandResult apply(Command command) {
      ControlState.Applied applied = state.apply(state.appliedIndex() + 1, command);
      state = applied.state();
      results.add(applied.result());
      return applied.result();
    }

    ControlState state() {
      return state;
    }

    long index() {
      return state.appliedIndex();
    }

    SlotOwnershipTable table() {
      return state.content().services().get(LEDGER).orElseThrow().slots();
    }

    long grantFence(int number) {
      return state.target(target(number)).orElseThrow().grant().orElseThrow().fence().value();
    }

    Command status(int number, TargetStatus status) {
      long expected = state.targetChangedIndex(target(number));
      return new Command.ChangeTargetStatus(target(number), status, "a", expected, "test");
    }
  }

  /**
   * Returns a log with a keyed service, registered instances (with session s), announced targets,
   * and a dispatch grant for each target. Instances and targets are numbered from 0.
   */
  static CommandLog cluster(int instances, int targets, int hashSlots) {
    CommandLog log = CommandLog.of(service(hashSlots));
    IntStream.range(0, instances).forEach(number -> log.apply(register(number, "s")));
    IntStream.range(0, targets).forEach(number -> log.apply(announce(number)));
    IntStream.range(0, targets)
        .forEach(number -> log.apply(grant(number, number % instances, "s")));
    return log;
  }
}
