package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.MembershipChange;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides on changes of the control group: processes that ask to join become learners, learners are
 * promoted until the group has the wanted number of voters, and a voter that is unresponsive for
 * too long is removed when a learner can take its place. A removed voter that comes back joins as a
 * learner again, and so does a learner that has lost its disk.
 */
final class GroupMembership {
  private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long JOIN_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * A learner that lacks more entries would leave the place of a removed voter empty for a time.
   */
  private static final long MAX_LEARNER_LAG_ENTRIES = 64;

  private final int wantedVoters;
  private final long voterTimeoutNanos;
  private final Map<MemberId, Long> joinRequestNanos = new HashMap<>();
  private final Map<MemberId, Long> lastContactNanos = new HashMap<>();
  private long nextStepNanos;

  /** Membership change of one member. */
  record Step(MembershipChange change, MemberId member) {}

  GroupMembership(int wantedVoters, long voterTimeoutNanos, long nowNanos) {
    this.wantedVoters = wantedVoters;
    this.voterTimeoutNanos = voterTimeoutNanos;
    this.nextStepNanos = nowNanos;
  }

  void recordJoinRequest(long nowNanos, MemberId member) {
    joinRequestNanos.put(member, nowNanos);
  }

  Optional<Step> nextStep(long nowNanos, List<MemberProgress> group) {
    if (nowNanos - nextStepNanos < 0) {
      return Optional.empty();
    }
    nextStepNanos = nowNanos + STEP_INTERVAL_NANOS;
    joinRequestNanos.values().removeIf(heard -> nowNanos - heard > JOIN_VALID_NANOS);
    lastContactNanos.keySet().retainAll(group.stream().map(MemberProgress::member).toList());
    group.stream()
        .filter(m -> m.heard() || !lastContactNanos.containsKey(m.member()))
        .forEach(m -> lastContactNanos.put(m.member(), nowNanos));
    return promotion(group)
        .or(() -> admission(group))
        .or(() -> removalOfLostLearner(nowNanos, group))
        .or(() -> replacement(nowNanos, group));
  }

  private Optional<Step> promotion(List<MemberProgress> group) {
    return voterCount(group) >= wantedVoters
        ? Optional.empty()
        : readyLearner(group).map(m -> new Step(MembershipChange.PROMOTE, m.member()));
  }

  private Optional<Step> admission(List<MemberProgress> group) {
    return joinRequestNanos.keySet().stream()
        .filter(j -> group.stream().noneMatch(m -> isSameInstance(m, j)))
        .map(j -> new Step(MembershipChange.ADD_LEARNER, j))
        .findFirst();
  }

  /** Removes a learner whose instance asks to join with another disk, which is admitted next. */
  private Optional<Step> removalOfLostLearner(long nowNanos, List<MemberProgress> group) {
    return group.stream()
        .filter(m -> !m.voter() && !m.heard())
        .filter(m -> unresponsiveNanos(nowNanos, m) > voterTimeoutNanos)
        .filter(m -> joinRequestNanos.keySet().stream().anyMatch(j -> isOtherDisk(m, j)))
        .map(m -> new Step(MembershipChange.REMOVE, m.member()))
        .findFirst();
  }

  private static boolean isOtherDisk(MemberProgress member, MemberId joining) {
    return isSameInstance(member, joining) && !member.member().equals(joining);
  }

  private Optional<Step> replacement(long nowNanos, List<MemberProgress> group) {
    if (readyLearner(group).filter(m -> hasCaughtUp(m, group)).isEmpty()) {
      return Optional.empty();
    }
    return group.stream()
        .filter(m -> m.voter() && !m.heard())
        .filter(m -> unresponsiveNanos(nowNanos, m) > voterTimeoutNanos)
        .max(Comparator.comparingLong(m -> unresponsiveNanos(nowNanos, m)))
        .map(m -> new Step(MembershipChange.REMOVE, m.member()));
  }

  private long unresponsiveNanos(long nowNanos, MemberProgress member) {
    return nowNanos - lastContactNanos.get(member.member());
  }

  /** Returns the learner that lacks fewest entries; one that lags must not block the others. */
  private static Optional<MemberProgress> readyLearner(List<MemberProgress> group) {
    return group.stream()
        .filter(m -> !m.voter() && m.heard())
        .filter(m -> group.stream().noneMatch(o -> o.voter() && isSameInstance(o, m.member())))
        .max(Comparator.comparingLong(MemberProgress::matchIndex));
  }

  private static boolean hasCaughtUp(MemberProgress learner, List<MemberProgress> group) {
    return committedIndex(group) - learner.matchIndex() <= MAX_LEARNER_LAG_ENTRIES;
  }

  private static long committedIndex(List<MemberProgress> group) {
    long[] ascending =
        group.stream()
            .filter(MemberProgress::voter)
            .mapToLong(MemberProgress::matchIndex)
            .sorted()
            .toArray();
    return ascending[(ascending.length - 1) / 2];
  }

  private static long voterCount(List<MemberProgress> group) {
    return group.stream().filter(MemberProgress::voter).count();
  }

  private static boolean isSameInstance(MemberProgress one, MemberId other) {
    return one.member().instance().equals(other.instance());
  }
}
