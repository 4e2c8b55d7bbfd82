package io.coltsfootwheel.simulation;

import io.coltsfootwheel.consensus.GroupConfiguration;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.consensus.ReplicationEffect;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.model.InstanceId;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Randomised run of a replication group of 3 or 5 initial members and one spare instance.
 *
 * <p>Usage: {@code new ReplicationSimulation(seed, 5_000).run().violations()}.
 */
public final class ReplicationSimulation {
  /** Result of a run; the digest is equal for equal seeds and event counts. */
  public record Result(
      List<String> violations,
      long digest,
      long committedIndex,
      int leaders,
      int lostDisks,
      long recoveryEvents) {}

  private static final long MILLI = SimulationClock.MILLI;
  private static final long TICK_NANOS = 25 * MILLI;

  /** Long enough for elections, transfers and repairs one after the other. */
  private static final long RECOVERY_NANOS = 10_000 * MILLI;

  /**
   * Ends a recovery in which members answer each other without end. A stalled group processed 4,664
   * events in the whole recovery time.
   */
  private static final long MAX_RECOVERY_EVENTS = 50_000;

  private final SimulationClock clock = new SimulationClock();
  private final SafetyChecker checker = new SafetyChecker();
  private final List<SimulatedMember> members = new ArrayList<>();
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final FaultInjector faults;
  private final List<InstanceId> initial;
  private final long eventCount;
  private long nextRequestId = 1;
  private int leaders;
  private long digest;
  private long recoveryEvents;

  public ReplicationSimulation(long seed, long eventCount) {
    this.eventCount = eventCount;
    random = new SplittableRandom(seed);
    network = new SimulatedNetwork(clock, random.split());
    int size = seed % 4 == 0 ? 5 : 3;
    initial = IntStream.rangeClosed(1, size).mapToObj(i -> InstanceId.of("n" + i)).toList();
    SimulatedMember.Environment environment =
        new SimulatedMember.Environment(
            clock, checker, this::deliver, this::settings, ChainStateMachine::new, this::syncNanos);
    initial.forEach(i -> addMember(i, environment));
    addMember(InstanceId.of("spare"), environment);
    faults = new FaultInjector(clock, random.split(), network, members);
  }

  private void addMember(InstanceId instance, SimulatedMember.Environment environment) {
    members.add(new SimulatedMember(instance, environment, random.nextLong(1_000_000 * MILLI)));
  }

  private ReplicationSettings settings(MemberId self) {
    long seed = random.nextLong();
    return new ReplicationSettings(
        self, initial, true, seed, 50 * MILLI, 150 * MILLI, 300 * MILLI, 4, 64, 256, 64, 8);
  }

  private long syncNanos() {
    boolean slow = random.nextInt(50) == 0;
    return random.nextLong(1, (slow ? 200 : 3) * MILLI);
  }

  /** Runs until the members have processed the number of events, then checks the recovery. */
  public Result run() {
    members.forEach(SimulatedMember::start);
    members.forEach(this::tick);
    clock.after(5 * MILLI, this::request);
    faults.schedule();
    while (processedEvents() < eventCount) {
      clock.step();
    }
    faults.stop();
    recover();
    return new Result(
        checker.violations(),
        digest,
        checker.committedIndex(),
        leaders,
        faults.lost().size(),
        recoveryEvents);
  }

  private long processedEvents() {
    return members.stream().mapToLong(SimulatedMember::eventCount).sum();
  }

  private void recover() {
    long deadline = clock.now() + RECOVERY_NANOS;
    long lastEvent = processedEvents() + MAX_RECOVERY_EVENTS;
    while (clock.now() < deadline && processedEvents() < lastEvent && !isRecovered()) {
      clock.step();
    }
    recoveryEvents = processedEvents() - lastEvent + MAX_RECOVERY_EVENTS;
    if (!isRecovered()) {
      checker.violation("not recovered: " + describe());
    }
  }

  private boolean isRecovered() {
    Optional<SimulatedMember> leader =
        members.stream().filter(m -> m.role() == Role.LEADER_READY).findFirst();
    return leader.isPresent()
        && isRepaired(leader.get().reducer().configuration().orElseThrow())
        && checker.committedIndex() <= leader.get().machine().appliedIndex();
  }

  private boolean isRepaired(GroupConfiguration configuration) {
    return configuration.voters().stream().noneMatch(faults.lost()::contains)
        && members.stream()
            .filter(m -> configuration.hasVoter(m.id()))
            .allMatch(m -> m.machine().appliedIndex() + 20 >= checker.committedIndex());
  }

  private String describe() {
    return members.stream()
        .map(
            m ->
                "%s %s term %d applied %d %s"
                    .formatted(
                        m.id(),
                        m.role(),
                        m.reducer().term(),
                        m.machine().appliedIndex(),
                        m.reducer().configuration()))
        .toList()
        .toString();
  }

  private void tick(SimulatedMember member) {
    member.handle(ReplicationEvent.Tick::new);
    mix(member.machine().hash() + member.reducer().term());
    clock.after(TICK_NANOS, () -> tick(member));
  }

  private void mix(long value) {
    digest = (digest ^ value) * 0x9E3779B97F4A7C15L + clock.now();
  }

  private void deliver(SimulatedMember sender, ReplicationEffect.Send send) {
    MemberId from = sender.id();
    members.stream()
        .filter(m -> m.instance().equals(send.to().instance()))
        .forEach(
            m ->
                network.send(
                    from.instance(),
                    m.instance(),
                    () ->
                        m.handle(
                            now ->
                                new ReplicationEvent.MessageReceived(now, from, send.message()))));
  }

  private void request() {
    SimulatedMember member = members.get(random.nextInt(members.size()));
    List<SimulatedMember> leading =
        members.stream().filter(m -> m.role() == Role.LEADER_READY).toList();
    leaders = Math.max(leaders, leading.size());
    SimulatedMember target =
        leading.isEmpty() ? member : leading.get(random.nextInt(leading.size()));
    int kind = random.nextInt(100);
    if (kind < 55) {
      propose(target);
    } else if (kind < 92) {
      confirm(target);
    } else if (kind < 97) {
      takeSnapshot(member);
    } else {
      changeMembership(target);
    }
    clock.after(random.nextLong(1, 12 * MILLI), this::request);
  }

  private void propose(SimulatedMember target) {
    long id = nextRequestId++;
    byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(id).array();
    target.handle(now -> new ReplicationEvent.Propose(now, id, command));
  }

  private void confirm(SimulatedMember target) {
    long id = nextRequestId++;
    target.handle(now -> new ReplicationEvent.ConfirmLeadership(now, id));
  }

  private void takeSnapshot(SimulatedMember member) {
    if (member.isActive()) {
      long index = member.machine().appliedIndex();
      byte[] bytes = member.machine().snapshot();
      member.handle(now -> new ReplicationEvent.SnapshotTaken(now, index, bytes));
    }
  }

  /** Lets instances join and leave; a group with a lost voter is not made smaller. */
  private void changeMembership(SimulatedMember target) {
    MemberId subject = members.get(random.nextInt(members.size())).id();
    MembershipChange change =
        MembershipChange.values()[random.nextInt(MembershipChange.values().length)];
    boolean allowed =
        change != MembershipChange.REMOVE
            || target.isActive()
                && target.reducer().configuration().filter(this::isRemovalSafe).isPresent();
    if (allowed) {
      long id = nextRequestId++;
      target.handle(now -> new ReplicationEvent.ChangeMembership(now, id, change, subject));
    }
  }

  private boolean isRemovalSafe(GroupConfiguration configuration) {
    return configuration.voters().size() > 3
        && configuration.voters().stream().noneMatch(faults.lost()::contains);
  }
}
