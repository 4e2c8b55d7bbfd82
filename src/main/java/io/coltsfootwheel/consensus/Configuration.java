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
 * @param vacancies instances whose voter was removed because its disk was replaced; their learner
 *     becomes a voter when it holds everything committed
 */
public record Configuration(
    List<MemberId> voters, List<MemberId> learners, List<InstanceId> vacancies) {
  /** Copies the lists; entries written before vacancies existed decode with none. */
  public Configuration {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
    vacancies = vacancies == null ? List.of() : List.copyOf(vacancies);
  }

  /**
   * Returns a configuration of voters only.
   *
   * @param voters the voters
   * @return the configuration
   */
  public static Configuration of(List<MemberId> voters) {
    return new Configuration(voters, List.of(), List.of());
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
    return new Configuration(voters, plus(learners, member), vacancies);
  }

  /**
   * Returns the configuration in which a learner has become a voter.
   *
   * @param member the learner
   * @return the new configuration
   */
  public Configuration withPromoted(MemberId member) {
    return new Configuration(
        plus(voters, member), minus(learners, member), minus(vacancies, member.instance()));
  }

  /**
   * Returns the configuration without a member; a vacancy of its instance ends.
   *
   * @param member the member
   * @return the new configuration
   */
  public Configuration without(MemberId member) {
    return new Configuration(
        minus(voters, member), minus(learners, member), minus(vacancies, member.instance()));
  }

  /**
   * Returns the configuration in which the present identity of an instance has taken the place of
   * an old one. The place of a voter becomes a vacancy, with the present identity as learner.
   *
   * @param old the identity whose disk was replaced
   * @param present the identity that the instance has now
   * @return the new configuration, which differs in one voter at most
   */
  public Configuration withReplaced(MemberId old, MemberId present) {
    boolean opensVacancy = hasVoter(old) && !hasVoter(present);
    return new Configuration(
        minus(voters, old),
        hasMember(present) ? minus(learners, old) : plus(minus(learners, old), present),
        opensVacancy ? plus(minus(vacancies, old.instance()), old.instance()) : vacancies);
  }

  /**
   * Tells whether the learner of an instance is to become a voter.
   *
   * @param instance the instance
   * @return true from the removal of the replaced voter to the promotion of the learner
   */
  public boolean hasVacancy(InstanceId instance) {
    return vacancies.contains(instance);
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
