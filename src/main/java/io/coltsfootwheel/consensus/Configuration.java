package io.coltsfootwheel.consensus;

import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Membership of the replication group; the order within each list is the order of addition.
 *
 * @param voters members that count for quorums
 * @param learners members that receive the log and count for no quorum
 */
public record Configuration(List<MemberId> voters, List<MemberId> learners) {
  /** Copies the lists. */
  public Configuration {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /**
   * Returns a configuration of voters only.
   *
   * @param voters the voters
   * @return the configuration
   */
  public static Configuration of(List<MemberId> voters) {
    return new Configuration(voters, List.of());
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
   * Returns the voter that was added first for an instance.
   *
   * @param instance the instance
   * @return the voter, or empty
   */
  public Optional<MemberId> voterOf(InstanceId instance) {
    return voters.stream().filter(m -> m.instance().equals(instance)).findFirst();
  }

  /**
   * Returns the configuration with one more learner.
   *
   * @param member the learner
   * @return the new configuration
   */
  public Configuration withLearner(MemberId member) {
    return new Configuration(voters, plus(learners, member));
  }

  /**
   * Returns the configuration in which a learner has become a voter.
   *
   * @param member the learner
   * @return the new configuration
   */
  public Configuration withPromoted(MemberId member) {
    return new Configuration(plus(voters, member), minus(learners, member));
  }

  /**
   * Returns the configuration without a member.
   *
   * @param member the member
   * @return the new configuration
   */
  public Configuration without(MemberId member) {
    return new Configuration(minus(voters, member), minus(learners, member));
  }

  private static List<MemberId> plus(List<MemberId> list, MemberId member) {
    List<MemberId> result = new ArrayList<>(list);
    result.add(member);
    return result;
  }

  private static List<MemberId> minus(List<MemberId> list, MemberId member) {
    return list.stream().filter(m -> !m.equals(member)).toList();
  }
}
