package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.GroupConfiguration;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.simulation.SimulationClock;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Injects random faults into instances, disks, links and targets. */
final class Faults {
  private static final long MILLI = SimulationClock.NANOS_PER_MILLI;

  private final SimulatedSystem system;
  private final TargetOperations targets;
  private int faultPeriod;

  Faults(SimulatedSystem system, TargetOperations targets) {
    this.system = system;
    this.targets = targets;
  }

  void begin() {
    system.setFaulty(true);
    faultPeriod++;
    system.targets().forEach(simulatedTarget -> simulatedTarget.degrade(0, 0.03));
    scheduleNext(faultPeriod);
  }

  private void scheduleNext(int startedPeriod) {
    system.after(
        system.random().nextLong(20 * MILLI, 400 * MILLI),
        () -> {
          if (startedPeriod == faultPeriod) {
            inject(system.random().nextInt(100));
            scheduleNext(startedPeriod);
          }
        });
  }

  /** Ends all faults: heals the links, and starts or resumes what was stopped or paused. */
  void end() {
    faultPeriod++;
    system.setFaulty(false);
    system.links().heal();
    system.checker().event("all faults end");
    system.instances().stream()
        .filter(simulatedInstance -> !simulatedInstance.isRunning())
        .forEach(SimulatedInstance::start);
    system.instances().forEach(SimulatedInstance::resume);
    targets.endFaults();
  }

  private void inject(int kind) {
    SimulatedInstance instance = pickRandom(List.copyOf(system.instances()));
    SimulatedTarget target = pickRandom(List.copyOf(system.targets()));
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
      system
          .links()
          .degrade(system.random().nextDouble() * 0.1, system.random().nextDouble() * 0.1);
    } else if (kind < 67) {
      system.checker().event("links heal");
      system.links().heal();
    } else if (kind < 81) {
      freeze(target);
    } else if (kind < 89) {
      targets.restart(target);
    } else if (kind < 94) {
      targets.drain(target);
    } else {
      target.degrade(system.random().nextDouble() * 0.3, system.random().nextDouble() * 0.1);
    }
  }

  private <T> T pickRandom(List<T> list) {
    return list.get(system.random().nextInt(list.size()));
  }

  private void restart(SimulatedInstance instance) {
    if (instance.isRunning()) {
      instance.crash();
      startLater(instance);
    }
  }

  private void startLater(SimulatedInstance instance) {
    int stoppedIncarnation = instance.incarnation();
    system.after(
        system.random().nextLong(800 * MILLI),
        () -> {
          if (!instance.isRunning() && instance.incarnation() == stoppedIncarnation) {
            instance.start();
          }
        });
  }

  private void loseDisk(SimulatedInstance instance) {
    if (instance.isMember() && instance.isRunning() && isLossTolerated()) {
      system.checker().event(instance.id() + " loses its disk");
      instance.loseDisk();
      startLater(instance);
    }
  }

  /**
   * A loss is tolerated when all members run and know a group configuration of exactly the current
   * disks, since the repair of the previous loss has then ended.
   */
  private boolean isLossTolerated() {
    List<SimulatedInstance> members =
        system.instances().stream().filter(SimulatedInstance::isMember).toList();
    Set<MemberId> currentMembers =
        members.stream().map(SimulatedInstance::memberId).collect(Collectors.toSet());
    return members.stream()
        .allMatch(
            member ->
                member.isRunning()
                    && hasVoters(member.replication().configuration(), currentMembers));
  }

  private static boolean hasVoters(
      Optional<GroupConfiguration> configuration, Set<MemberId> currentMembers) {
    return configuration.filter(c -> currentMembers.equals(Set.copyOf(c.voters()))).isPresent();
  }

  private void pause(SimulatedInstance instance) {
    if (instance.isRunning()) {
      instance.pause();
      int incarnation = instance.incarnation();
      system.after(
          system.random().nextLong(1_500 * MILLI),
          () -> {
            if (instance.incarnation() == incarnation) {
              instance.resume();
            }
          });
    }
  }

  private void cutOneWay(InstanceId from) {
    InstanceId other = pickRandom(List.copyOf(system.instances())).id();
    InstanceId target = pickRandom(List.copyOf(system.targets())).linkEnd();
    InstanceId to = system.random().nextBoolean() ? other : target;
    boolean isOutgoing = system.random().nextBoolean();
    system
        .checker()
        .event("link cut from " + (isOutgoing ? from + " to " + to : to + " to " + from));
    system.links().cut(isOutgoing ? from : to, isOutgoing ? to : from);
  }

  /**
   * Cuts all links of an instance in both directions until the links heal, which may take several
   * seconds.
   */
  private void isolate(InstanceId instance) {
    system.checker().event(instance + " is isolated");
    for (SimulatedInstance other : system.instances()) {
      system.links().cut(instance, other.id());
      system.links().cut(other.id(), instance);
    }
  }

  private void freeze(SimulatedTarget target) {
    if (target.isUp()) {
      target.freeze();
      int incarnation = target.incarnation();
      system.after(
          system.random().nextLong(2_500 * MILLI),
          () -> {
            if (target.incarnation() == incarnation) {
              target.thaw();
            }
          });
    }
  }
}
