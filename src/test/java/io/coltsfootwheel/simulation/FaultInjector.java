package io.coltsfootwheel.simulation;

import io.coltsfootwheel.consensus.GroupConfiguration;
import io.coltsfootwheel.consensus.MemberId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Injects random faults into members and network. Disk losses stay within a minority of the voters,
 * the number that the group must tolerate.
 */
public final class FaultInjector {
  private static final long NANOS_PER_MILLI = SimulationClock.NANOS_PER_MILLI;

  /** Exceeds the maximum delay of a message plus the maximum pause of its receiver. */
  private static final long MAX_DELIVERY_NANOS = 1_000 * NANOS_PER_MILLI;

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final List<SimulatedMember> members;
  private final Set<MemberId> lostMembers = new HashSet<>();
  private final List<GroupConfiguration> configurationsInTransit = new ArrayList<>();
  private boolean enabled = true;

  public FaultInjector(
      SimulationClock clock,
      SplittableRandom random,
      SimulatedNetwork network,
      List<SimulatedMember> members) {
    this.clock = clock;
    this.random = random;
    this.network = network;
    this.members = members;
  }

  public Set<MemberId> lostMembers() {
    return Set.copyOf(lostMembers);
  }

  public void schedule() {
    clock.after(
        random.nextLong(20 * NANOS_PER_MILLI, 250 * NANOS_PER_MILLI), this::injectAndReschedule);
  }

  private void injectAndReschedule() {
    if (enabled) {
      injectFault(random.nextInt(100));
      schedule();
    }
  }

  private void injectFault(int randomPercent) {
    if (randomPercent < 25) {
      crash(randomMember());
    } else if (randomPercent < 33) {
      loseDisk(randomMember());
    } else if (randomPercent < 36) {
      failSync(randomMember());
    } else if (randomPercent < 52) {
      pause(randomMember());
    } else if (randomPercent < 68) {
      cutOneDirection();
    } else if (randomPercent < 78) {
      isolate(randomMember());
    } else if (randomPercent < 90) {
      network.degrade(random.nextDouble() * 0.2, random.nextDouble() * 0.1);
    } else {
      network.heal();
    }
  }

  private SimulatedMember randomMember() {
    return members.get(random.nextInt(members.size()));
  }

  private void crash(SimulatedMember member) {
    if (member.isRunning()) {
      member.crash(random.nextInt(member.unsyncedWrites() + 1));
      clock.after(random.nextLong(400 * NANOS_PER_MILLI), () -> restart(member));
    }
  }

  private void failSync(SimulatedMember member) {
    if (member.isRunning()) {
      member.failSync();
      clock.after(random.nextLong(400 * NANOS_PER_MILLI), () -> restart(member));
    }
  }

  private void loseDisk(SimulatedMember member) {
    if (member.isRunning() && isLossTolerated(member.id())) {
      recordUniqueConfiguration(member);
      lostMembers.add(member.id());
      member.crash(0);
      member.replaceDisk();
      clock.after(random.nextLong(200 * NANOS_PER_MILLI), () -> restart(member));
    }
  }

  /**
   * Records a configuration that only the lost member knew, for as long as a delayed message may
   * still deliver it.
   */
  private void recordUniqueConfiguration(SimulatedMember victim) {
    Optional<GroupConfiguration> configuration = victim.reducer().configuration();
    boolean isUnique =
        members.stream()
            .filter(m -> m != victim)
            .noneMatch(m -> m.reducer().configuration().equals(configuration));
    if (isUnique && configuration.isPresent()) {
      configurationsInTransit.add(configuration.get());
      clock.after(MAX_DELIVERY_NANOS, () -> configurationsInTransit.remove(configuration.get()));
    }
  }

  /**
   * Tells whether at most a minority of the voters would be lost, in every configuration that a
   * member knows or may still receive.
   */
  private boolean isLossTolerated(MemberId victim) {
    Set<MemberId> lostAfterwards = new HashSet<>(lostMembers);
    lostAfterwards.add(victim);
    return Stream.concat(
            configurationsInTransit.stream(),
            members.stream().map(m -> m.reducer().configuration()).flatMap(Optional::stream))
        .map(GroupConfiguration::voters)
        .allMatch(v -> v.stream().filter(lostAfterwards::contains).count() <= (v.size() - 1) / 2);
  }

  private void restart(SimulatedMember member) {
    if (!member.isRunning()) {
      member.start();
    }
  }

  private void pause(SimulatedMember member) {
    member.pause();
    clock.after(random.nextLong(500 * NANOS_PER_MILLI), member::resume);
  }

  private void cutOneDirection() {
    network.cut(randomMember().instance(), randomMember().instance());
  }

  private void isolate(SimulatedMember member) {
    for (SimulatedMember other : members) {
      network.cut(member.instance(), other.instance());
      network.cut(other.instance(), member.instance());
    }
  }

  /** Stops injecting faults, heals the network, and restarts and resumes all members. */
  public void stop() {
    enabled = false;
    network.heal();
    members.forEach(this::restart);
    members.forEach(SimulatedMember::resume);
  }
}
