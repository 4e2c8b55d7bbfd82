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

/** Random faults within the tolerance of the group. */
public final class FaultInjector {
  private static final long MILLI = SimulationClock.MILLI;

  /** Longest delay of a message and longest pause of its receiver, with a margin. */
  private static final long MESSAGE_LIFE_NANOS = 1_000 * MILLI;

  private final SimulationClock clock;
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final List<SimulatedMember> members;
  private final Set<MemberId> lost = new HashSet<>();
  private final List<GroupConfiguration> inFlight = new ArrayList<>();
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

  public Set<MemberId> lost() {
    return Set.copyOf(lost);
  }

  public void schedule() {
    clock.after(random.nextLong(20 * MILLI, 250 * MILLI), this::injectNext);
  }

  private void injectNext() {
    if (enabled) {
      inject(random.nextInt(100));
      schedule();
    }
  }

  private void inject(int kind) {
    if (kind < 25) {
      crash(randomMember());
    } else if (kind < 33) {
      loseDisk(randomMember());
    } else if (kind < 36) {
      failSync(randomMember());
    } else if (kind < 52) {
      pause(randomMember());
    } else if (kind < 68) {
      cutOneWay();
    } else if (kind < 78) {
      isolate(randomMember());
    } else if (kind < 90) {
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
      clock.after(random.nextLong(400 * MILLI), () -> restart(member));
    }
  }

  private void failSync(SimulatedMember member) {
    if (member.isRunning()) {
      member.failSync();
      clock.after(random.nextLong(400 * MILLI), () -> restart(member));
    }
  }

  private void loseDisk(SimulatedMember member) {
    if (member.isRunning() && isLossTolerated(member.id())) {
      rememberUniqueConfiguration(member);
      lost.add(member.id());
      member.crash(0);
      member.replaceDisk();
      clock.after(random.nextLong(200 * MILLI), () -> restart(member));
    }
  }

  /** A configuration that only the lost member knew may still arrive in a delayed message. */
  private void rememberUniqueConfiguration(SimulatedMember victim) {
    Optional<GroupConfiguration> known = victim.reducer().configuration();
    boolean unique =
        members.stream()
            .filter(m -> m != victim)
            .noneMatch(m -> m.reducer().configuration().equals(known));
    if (unique && known.isPresent()) {
      inFlight.add(known.get());
      clock.after(MESSAGE_LIFE_NANOS, () -> inFlight.remove(known.get()));
    }
  }

  /** A minority of the voters may be lost, in every configuration that some member knows. */
  private boolean isLossTolerated(MemberId victim) {
    Set<MemberId> lostThen = new HashSet<>(lost);
    lostThen.add(victim);
    return Stream.concat(
            inFlight.stream(),
            members.stream().map(m -> m.reducer().configuration()).flatMap(Optional::stream))
        .map(GroupConfiguration::voters)
        .allMatch(v -> v.stream().filter(lostThen::contains).count() <= (v.size() - 1) / 2);
  }

  private void restart(SimulatedMember member) {
    if (!member.isRunning()) {
      member.start();
    }
  }

  private void pause(SimulatedMember member) {
    member.pause();
    clock.after(random.nextLong(500 * MILLI), member::resume);
  }

  private void cutOneWay() {
    network.cut(randomMember().instance(), randomMember().instance());
  }

  private void isolate(SimulatedMember member) {
    for (SimulatedMember other : members) {
      network.cut(member.instance(), other.instance());
      network.cut(other.instance(), member.instance());
    }
  }

  /** Ends all faults and restarts everything. */
  public void stop() {
    enabled = false;
    network.heal();
    members.forEach(this::restart);
    members.forEach(SimulatedMember::resume);
  }
}
