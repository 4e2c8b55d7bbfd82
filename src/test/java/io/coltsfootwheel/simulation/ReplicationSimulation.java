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
 * Randomized run of a replication group with 3 or 5 initial members and one spare instance, under
 * faults that the group must tolerate.
 *
 * <p>Usage: {@code new ReplicationSimulation(seed, 5_000).run().violations()}.
 */
public final class ReplicationSimulation {
  /**
   * Result of a run. Equal seeds and event counts give equal digests.
   *
   * @param violations broken invariants
   * @param digest hash over the sequence of states
   * @param committedIndex highest index that a member has applied
   * @param maxReadyLeaders maximum number of members that were ready leaders at one time
   * @param lostDisks number of lost disks
   * @param recoveryEvents events that the members processed until the group had recovered
   */
  public record Result(
      List<String> violations,
      long digest,
      long committedIndex,
      int maxReadyLeaders,
      int lostDisks,
      long recoveryEvents) {}

  private static final long NANOS_PER_MILLI = SimulationClock.NANOS_PER_MILLI;
  private static final long TICK_NANOS = 25 * NANOS_PER_MILLI;

  /** Long enough for successive elections, snapshot transfers and membership repairs. */
  private static final long RECOVERY_NANOS = 10_000 * NANOS_PER_MILLI;

  /**
   * Stops a recovery in which members send each other responses without end. A group without
   * progress processed 4,664 events in the whole recovery time.
   */
  private static final long MAX_RECOVERY_EVENTS = 50_000;

  private final SimulationClock clock = new SimulationClock();
  private final SafetyChecker checker = new SafetyChecker();
  private final List<SimulatedMember> members = new ArrayList<>();
  private final SplittableRandom random;
  private final SimulatedNetwork network;
  private final FaultInjector faultInjector;
  private final List<InstanceId> initialInstances;
  private final long eventCount;
  private long nextRequestId = 1;
  private int maxReadyLeaders;
  private long digest;
  private long recoveryEvents;

  public ReplicationSimulation(long seed, long eventCount) {
    this.eventCount = eventCount;
    random = new SplittableRandom(seed);
    network = new SimulatedNetwork(clock, random.split());
    int size = seed % 4 == 0 ? 5 : 3;
    initialInstances =
        IntStream.rangeClosed(1, size).mapToObj(i -> InstanceId.of("n" + i)).toList();
    SimulatedMember.Environment environment =
        new SimulatedMember.Environment(
            clock,
            checker,
            this::deliver,
            this::settings,
            HashChainStateMachine::new,
            this::syncNanos);
    initialInstances.forEach(i -> addMember(i, environment));
    addMember(InstanceId.of("spare"), environment);
    faultInjector = new FaultInjector(clock, random.split(), network, members);
  }

  private void addMember(InstanceId instance, SimulatedMember.Environment environment) {
    members.add(
        new SimulatedMember(instance, environment, random.nextLong(1_000_000 * NANOS_PER_MILLI)));
  }

  private ReplicationSettings settings(MemberId self) {
    long seed = random.nextLong();
    return new ReplicationSettings(
        self,
        initialInstances,
        true,
        seed,
        50 * NANOS_PER_MILLI,
        150 * NANOS_PER_MILLI,
        300 * NANOS_PER_MILLI,
        4,
        64,
        256,
        64,
        8,
        ReplicationSettings.DEFAULT_RETAINED_BYTES);
  }

  private long syncNanos() {
    boolean isSlow = random.nextInt(50) == 0;
    return random.nextLong(1, (isSlow ? 200 : 3) * NANOS_PER_MILLI);
  }

  /**
   * Runs until the members have processed the event count, then ends all faults and checks
   * recovery.
   */
  public Result run() {
    members.forEach(SimulatedMember::start);
    members.forEach(this::tick);
    clock.after(5 * NANOS_PER_MILLI, this::sendRandomRequest);
    faultInjector.schedule();
    while (processedEvents() < eventCount) {
      clock.step();
    }
    faultInjector.stop();
    recover();
    return new Result(
        checker.violations(),
        digest,
        checker.committedIndex(),
        maxReadyLeaders,
        faultInjector.lostMembers().size(),
        recoveryEvents);
  }

  private long processedEvents() {
    return members.stream().mapToLong(SimulatedMember::eventCount).sum();
  }

  private void recover() {
    long deadlineNanos = clock.now() + RECOVERY_NANOS;
    long maxProcessedEvents = processedEvents() + MAX_RECOVERY_EVENTS;
    while (clock.now() < deadlineNanos
        && processedEvents() < maxProcessedEvents
        && !isRecovered()) {
      clock.step();
    }
    recoveryEvents = processedEvents() - maxProcessedEvents + MAX_RECOVERY_EVENTS;
    if (!isRecovered()) {
      checker.recordViolation("group has not recovered: " + describeMembers());
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
    return configuration.voters().stream().noneMatch(faultInjector.lostMembers()::contains)
        && members.stream()
            .filter(m -> configuration.hasVoter(m.id()))
            .allMatch(m -> m.machine().appliedIndex() + 20 >= checker.committedIndex());
  }

  private String describeMembers() {
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
    addToDigest(member.machine().hash() + member.reducer().term());
    clock.after(TICK_NANOS, () -> tick(member));
  }

  private void addToDigest(long value) {
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

  private void sendRandomRequest() {
    SimulatedMember member = members.get(random.nextInt(members.size()));
    List<SimulatedMember> readyLeaders =
        members.stream().filter(m -> m.role() == Role.LEADER_READY).toList();
    maxReadyLeaders = Math.max(maxReadyLeaders, readyLeaders.size());
    SimulatedMember recipient =
        readyLeaders.isEmpty() ? member : readyLeaders.get(random.nextInt(readyLeaders.size()));
    int randomPercent = random.nextInt(100);
    if (randomPercent < 55) {
      propose(recipient);
    } else if (randomPercent < 92) {
      confirm(recipient);
    } else if (randomPercent < 97) {
      takeSnapshot(member);
    } else {
      changeMembership(recipient);
    }
    clock.after(random.nextLong(1, 12 * NANOS_PER_MILLI), this::sendRandomRequest);
  }

  private void propose(SimulatedMember recipient) {
    long id = nextRequestId++;
    byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(id).array();
    recipient.handle(now -> new ReplicationEvent.Propose(now, id, command));
  }

  private void confirm(SimulatedMember recipient) {
    long id = nextRequestId++;
    recipient.handle(now -> new ReplicationEvent.ConfirmLeadership(now, id));
  }

  private void takeSnapshot(SimulatedMember member) {
    if (member.isActive()) {
      long index = member.machine().appliedIndex();
      byte[] bytes = member.machine().snapshot();
      member.handle(now -> new ReplicationEvent.SnapshotTaken(now, index, bytes));
    }
  }

  /**
   * Requests a random membership change. A removal is requested only in a group of more than three
   * voters, none of which has lost its disk.
   */
  private void changeMembership(SimulatedMember recipient) {
    MemberId changedMember = members.get(random.nextInt(members.size())).id();
    MembershipChange change =
        MembershipChange.values()[random.nextInt(MembershipChange.values().length)];
    boolean isAllowed =
        change != MembershipChange.REMOVE
            || recipient.isActive()
                && recipient.reducer().configuration().filter(this::isRemovalSafe).isPresent();
    if (isAllowed) {
      long id = nextRequestId++;
      recipient.handle(
          now -> new ReplicationEvent.ChangeMembership(now, id, change, changedMember));
    }
  }

  private boolean isRemovalSafe(GroupConfiguration configuration) {
    return configuration.voters().size() > 3
        && configuration.voters().stream().noneMatch(faultInjector.lostMembers()::contains);
  }
}
