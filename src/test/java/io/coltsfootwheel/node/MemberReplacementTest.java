package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.Role;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Group of five members that tolerates two losses, whose members are replaced by new ones. */
class MemberReplacementTest {
  private static final int SEED_COUNT = 3;
  private static final int TOLERATED_LOSSES = 2;

  /** Time after which an empty machine follows one that was lost. */
  private static final long SUCCESSOR_DELAY_MILLIS = 1_000;

  private static final long STEP_MILLIS = 500;
  private static final long RANDOM_RUN_MILLIS = 60_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final int STEPS_PER_LOSS = 4;
  private static final int MAX_PAUSE_STEPS = 16;

  private final ControlGroup group = new ControlGroup(3, TOLERATED_LOSSES);
  private final List<InstanceId> running = new ArrayList<>();

  /** Times at which the losses end that count now. */
  private final List<Long> lossEndsMillis = new ArrayList<>();

  private final List<Pause> pauses = new ArrayList<>();
  private int successorCount;

  /** Member that can't be reached until a time of the run. */
  private record Pause(InstanceId member, long endMillis) {}

  @BeforeEach
  void formGroup() {
    for (int i = 1; i <= 3; i++) {
      running.add(InstanceId.of("10.0.0." + i));
    }
    for (int i = 1; i <= TOLERATED_LOSSES; i++) {
      running.add(InstanceId.of("10.0.1." + i));
    }
    group.run(3_000);
  }

  /**
   * Guards against the end of the group after losses that follow each other, each after the
   * successors of those before have had their time to catch up.
   */
  @ParameterizedTest
  @CsvSource({"1,true", "1,false", "2,true", "2,false"})
  void groupOutlivesMoreLossesThanItToleratesAtOnce(int lossesAtOnce, boolean losesLeader) {
    for (int round = 1; round <= 4; round++) {
      for (int i = 0; i < lossesAtOnce; i++) {
        lose(losesLeader);
      }
      group.run(SUCCESSOR_DELAY_MILLIS);
      for (int i = 0; i < lossesAtOnce; i++) {
        addSuccessor("10.0.2." + (10 * round + i));
      }
      group.run(ControlGroup.CATCH_UP_MILLIS);
      assertThat(group.leader()).as("leader after round %d", round).isPresent();
    }
  }

  /**
   * Guards against a member that was paused, lost its place to another, and never takes part again.
   */
  @Test
  void removedMemberThatComesBackTakesTheNextPlace() {
    InstanceId paused = firstRunning(i -> true);
    group.isolate(paused);
    addSuccessor("10.0.2.1");
    group.run(ControlGroup.CATCH_UP_MILLIS);
    group.reconnect(paused);
    group.run(ControlGroup.CATCH_UP_MILLIS);
    for (int i = 0; i <= TOLERATED_LOSSES; i++) {
      group.isolate(running.remove(running.size() - 1));
      group.run(SUCCESSOR_DELAY_MILLIS + ControlGroup.CATCH_UP_MILLIS);
    }
    assertThat(group.leader()).isPresent();
  }

  /**
   * Guards against orders of losses and pauses after which the group has no leader, although at no
   * time more members counted as lost than it tolerates.
   */
  @ParameterizedTest
  @MethodSource("seeds")
  void groupOutlivesRandomLossesAndPauses(long seed) {
    Random random = new Random(seed);
    for (long millis = 0; millis < RANDOM_RUN_MILLIS; millis += STEP_MILLIS) {
      endLosses(millis);
      boolean mayLose = lossEndsMillis.size() < TOLERATED_LOSSES;
      if (mayLose && random.nextInt(STEPS_PER_LOSS) == 0) {
        boolean isForGood = random.nextBoolean();
        InstanceId member = anyReachable(random);
        if (isForGood) {
          replace(member, millis);
        } else {
          pause(member, millis, STEP_MILLIS * (1 + random.nextInt(MAX_PAUSE_STEPS)));
        }
      }
      group.run(STEP_MILLIS);
    }
    endLosses(Long.MAX_VALUE);
    group.run(SETTLE_MILLIS);
    assertThat(group.leader()).isPresent();
  }

  private void endLosses(long nowMillis) {
    lossEndsMillis.removeIf(end -> end <= nowMillis);
    pauses.stream()
        .filter(p -> p.endMillis() <= nowMillis)
        .forEach(p -> group.reconnect(p.member()));
    pauses.removeIf(p -> p.endMillis() <= nowMillis);
  }

  private void replace(InstanceId lost, long nowMillis) {
    running.remove(lost);
    group.isolate(lost);
    addSuccessor("10.0.3." + ++successorCount);
    lossEndsMillis.add(nowMillis + ControlGroup.CATCH_UP_MILLIS);
  }

  private void pause(InstanceId member, long nowMillis, long durationMillis) {
    group.isolate(member);
    pauses.add(new Pause(member, nowMillis + durationMillis));
    lossEndsMillis.add(nowMillis + durationMillis + ControlGroup.CATCH_UP_MILLIS);
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("coltsfootwheel.replacement-seeds", 20));
  }

  private InstanceId anyReachable(Random random) {
    List<InstanceId> candidates =
        running.stream().filter(i -> pauses.stream().noneMatch(p -> p.member().equals(i))).toList();
    return candidates.get(random.nextInt(candidates.size()));
  }

  private void lose(boolean losesLeader) {
    InstanceId lost =
        firstRunning(i -> (group.member(i).role() == Role.LEADER_READY) == losesLeader);
    running.remove(lost);
    group.isolate(lost);
  }

  /** Returns the first fitting process that runs, or the first one if none fits. */
  private InstanceId firstRunning(Predicate<InstanceId> condition) {
    return running.stream().filter(condition).findFirst().orElse(running.get(0));
  }

  private void addSuccessor(String name) {
    InstanceId successor = InstanceId.of(name);
    group.addSuccessor(successor, List.copyOf(running.subList(0, SEED_COUNT)));
    running.add(successor);
  }
}
