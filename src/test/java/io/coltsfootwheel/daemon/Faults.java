package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.GroupConfiguration;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Random faults of instances, disks, links and targets. */
final class Faults {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private final World world;
  private final TargetOperations targets;
  private int period;

  Faults(World world, TargetOperations targets) {
    this.world = world;
    this.targets = targets;
  }

  void begin() {
    world.setFaulty(true);
    period++;
    world.targets().forEach(t -> t.burden(0, 0.03));
    scheduleNext(period);
  }

  private void scheduleNext(int startedIn) {
    world.after(
        world.random().nextLong(20 * MILLI, 400 * MILLI),
        () -> {
          if (startedIn == period) {
            inject(world.random().nextInt(100));
            scheduleNext(startedIn);
          }
        });
  }

  /** Ends all faults; what was stopped starts again. */
  void end() {
    period++;
    world.setFaulty(false);
    world.links().heal();
    world.checker().event("all faults end");
    world.instances().stream().filter(i -> !i.isRunning()).forEach(SimulatedInstance::start);
    world.instances().forEach(SimulatedInstance::resume);
    targets.endFaults();
  }

  private void inject(int kind) {
    SimulatedInstance instance = any(List.copyOf(world.instances()));
    SimulatedTarget target = any(List.copyOf(world.targets()));
    if (kind < 10) {
      restart(instance);
    } else if (kind < 15) {
      loseDisk(instance);
    } else if (kind < 27) {
      pause(instance);
    } else if (kind < 37) {
      cutOneWay(instance.id());
    } else if (kind < 43) {
      isolate(instance.id());
    } else if (kind < 55) {
      world.links().degrade(world.random().nextDouble() * 0.1, world.random().nextDouble() * 0.1);
    } else if (kind < 67) {
      world.checker().event("links heal");
      world.links().heal();
    } else if (kind < 81) {
      freeze(target);
    } else if (kind < 89) {
      targets.restart(target);
    } else if (kind < 94) {
      targets.drain(target);
    } else {
      target.burden(world.random().nextDouble() * 0.3, world.random().nextDouble() * 0.1);
    }
  }

  private <T> T any(List<T> list) {
    return list.get(world.random().nextInt(list.size()));
  }

  private void restart(SimulatedInstance instance) {
    if (instance.isRunning()) {
      instance.crash();
      startLater(instance);
    }
  }

  private void startLater(SimulatedInstance instance) {
    int stopped = instance.run();
    world.after(
        world.random().nextLong(800 * MILLI),
        () -> {
          if (!instance.isRunning() && instance.run() == stopped) {
            instance.start();
          }
        });
  }

  private void loseDisk(SimulatedInstance instance) {
    if (instance.isMember() && instance.isRunning() && isLossTolerated()) {
      world.checker().event(instance.id() + " loses its disk");
      instance.loseDisk();
      startLater(instance);
    }
  }

  /** All members must agree on a configuration of the present disks, so the repair has ended. */
  private boolean isLossTolerated() {
    List<SimulatedInstance> members =
        world.instances().stream().filter(SimulatedInstance::isMember).toList();
    Set<MemberId> present =
        members.stream().map(SimulatedInstance::memberId).collect(Collectors.toSet());
    return members.stream()
        .allMatch(m -> m.isRunning() && isConfigured(m.replication().configuration(), present));
  }

  private static boolean isConfigured(Optional<GroupConfiguration> known, Set<MemberId> present) {
    return known.filter(c -> present.equals(Set.copyOf(c.voters()))).isPresent();
  }

  private void pause(SimulatedInstance instance) {
    if (instance.isRunning()) {
      instance.pause();
      int run = instance.run();
      world.after(
          world.random().nextLong(1_500 * MILLI),
          () -> {
            if (instance.run() == run) {
              instance.resume();
            }
          });
    }
  }

  private void cutOneWay(InstanceId from) {
    InstanceId other = any(List.copyOf(world.instances())).id();
    InstanceId target = any(List.copyOf(world.targets())).end();
    InstanceId to = world.random().nextBoolean() ? other : target;
    boolean towards = world.random().nextBoolean();
    world.checker().event("link cut from " + (towards ? from + " to " + to : to + " to " + from));
    world.links().cut(towards ? from : to, towards ? to : from);
  }

  /** Lasts until the links heal, which may take several seconds. */
  private void isolate(InstanceId instance) {
    world.checker().event(instance + " is isolated");
    for (SimulatedInstance other : world.instances()) {
      world.links().cut(instance, other.id());
      world.links().cut(other.id(), instance);
    }
  }

  private void freeze(SimulatedTarget target) {
    if (target.isUp()) {
      target.freeze();
      int incarnation = target.incarnation();
      world.after(
          world.random().nextLong(2_500 * MILLI),
          () -> {
            if (target.incarnation() == incarnation) {
              target.thaw();
            }
          });
    }
  }
}
