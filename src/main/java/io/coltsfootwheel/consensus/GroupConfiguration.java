package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Membership of the replication group. Each list is in the order of addition.
 *
 * @param voters members that count for quorums
 * @param learners members that receive the log but do not count for quorums
 * @param awaitingPromotion instances whose voter was removed because its disk was replaced; the
 *     learner of such an instance becomes a voter when it holds all committed entries
 */
public record GroupConfiguration(
    List<MemberId> voters, List<MemberId> learners, List<InstanceId> awaitingPromotion) {
  /** Copies the lists. The third list is missing in entries that earlier versions wrote. */
  public GroupConfiguration {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
    awaitingPromotion = awaitingPromotion == null ? List.of() : List.copyOf(awaitingPromotion);
  }

  /**
   * Returns a configuration of voters only.
   *
   * @param voters the voters
   * @return the configuration
   */
  public static GroupConfiguration of(List<MemberId> voters) {
    return new GroupConfiguration(voters, List.of(), List.of());
  }

  /**
   * Tells whether a member counts for quorums.
   *
   * @param member the member
   * @return true for a voter
   */
  public boolean hasVoter(MemberId member) {
    return voters.contains(member);
  }

  /**
   * Tells whether a member receives the log.
   *
   * @param member the member
   * @return true for a voter or a learner
   */
  public boolean hasMember(MemberId member) {
    return voters.contains(member) || learners.contains(member);
  }

  /**
   * Returns the number of voters that make a majority.
   *
   * @return the size of a quorum
   */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns voters and learners.
   *
   * @return all members
   */
  public List<MemberId> members() {
    return Stream.concat(voters.stream(), learners.stream()).toList();
  }

  /**
   * Returns the voter of an instance; of several, the one that was added first.
   *
   * @param instance the instance
   * @return the voter, or empty when the instance has none
   */
  public Optional<MemberId> voterOf(InstanceId instance) {
    return voters.stream().filter(m -> m.instance().equals(instance)).findFirst();
  }

  /**
   * Returns this configuration with one more learner.
   *
   * @param member the learner
   * @return the new configuration
   */
  public GroupConfiguration withLearner(MemberId member) {
    return new GroupConfiguration(voters, plus(learners, member), awaitingPromotion);
  }

  /**
   * Returns this configuration with a learner promoted to a voter. Its instance no longer awaits a
   * promotion.
   *
   * @param member the learner
   * @return the new configuration
   */
  public GroupConfiguration withPromoted(MemberId member) {
    return new GroupConfiguration(
        plus(voters, member), minus(learners, member), minus(awaitingPromotion, member.instance()));
  }

  /**
   * Returns this configuration without a member. Its instance no longer awaits a promotion.
   *
   * @param member the member
   * @return the new configuration
   */
  public GroupConfiguration without(MemberId member) {
    return new GroupConfiguration(
        minus(voters, member),
        minus(learners, member),
        minus(awaitingPromotion, member.instance()));
  }

  /**
   * Returns this configuration with a replaced disk identity exchanged for the current one of the
   * same instance. If the replaced identity was a voter, the current one becomes a learner and the
   * instance awaits its promotion.
   *
   * @param replaced the identity whose disk was replaced
   * @param current the identity that the instance has now
   * @return the new configuration, which differs in at most one voter
   */
  public GroupConfiguration withReplaced(MemberId replaced, MemberId current) {
    boolean removesVoter = hasVoter(replaced) && !hasVoter(current);
    return new GroupConfiguration(
        minus(voters, replaced),
        hasMember(current) ? minus(learners, replaced) : plus(minus(learners, replaced), current),
        removesVoter
            ? plus(minus(awaitingPromotion, replaced.instance()), replaced.instance())
            : awaitingPromotion);
  }

  /**
   * Tells whether the learner of an instance is to become a voter.
   *
   * @param instance the instance
   * @return true from the removal of the replaced voter until the promotion of the learner
   */
  public boolean awaitsPromotion(InstanceId instance) {
    return awaitingPromotion.contains(instance);
  }

  private static <T> List<T> plus(List<T> list, T element) {
    List<T> result = new ArrayList<>(list);
    result.add(element);
    return result;
  }

  private static <T> List<T> minus(List<T> list, T element) {
    return list.stream().filter(e -> !e.equals(element)).toList();
  }
}
