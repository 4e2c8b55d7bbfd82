package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.model.InstanceId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GroupMembershipTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long VOTER_TIMEOUT_NANOS = 12 * SECOND_NANOS;

  private static MemberId member(String name) {
    return new MemberId(InstanceId.of(name), "disk");
  }

  private static MemberProgress progress(String name, boolean voter, boolean heard) {
    return new MemberProgress(member(name), voter, 1, heard);
  }

  /** Guards against a process that asks to join and never becomes a voter. */
  @Test
  void joiningProcessBecomesALearnerThenAVoter() {
    GroupMembership membership = new GroupMembership(3, VOTER_TIMEOUT_NANOS, 0);
    membership.recordJoinRequest(1, member("c"));
    List<MemberProgress> two = List.of(progress("a", true, true), progress("b", true, true));
    assertThat(membership.nextStep(SECOND_NANOS / 2, two))
        .contains(new GroupMembership.Step(MembershipChange.ADD_LEARNER, member("c")));
    List<MemberProgress> three =
        List.of(progress("a", true, true), progress("b", true, true), progress("c", false, true));
    assertThat(membership.nextStep(SECOND_NANOS, three))
        .contains(new GroupMembership.Step(MembershipChange.PROMOTE, member("c")));
  }

  /** Guards against a learner that stays outside the group for good after it lost its disk. */
  @Test
  void learnerThatLostItsDiskIsReplaced() {
    GroupMembership membership = new GroupMembership(2, VOTER_TIMEOUT_NANOS, 0);
    MemberProgress first = progress("a", true, true);
    MemberProgress second = progress("b", true, true);
    MemberProgress lost = progress("c", false, false);
    MemberId current = new MemberId(InstanceId.of("c"), "new disk");
    assertThat(membership.nextStep(0, List.of(first, second, lost))).isEmpty();
    membership.recordJoinRequest(20 * SECOND_NANOS, current);
    assertThat(membership.nextStep(20 * SECOND_NANOS, List.of(first, second, lost)))
        .contains(new GroupMembership.Step(MembershipChange.REMOVE, lost.member()));
    assertThat(membership.nextStep(21 * SECOND_NANOS, List.of(first, second)))
        .contains(new GroupMembership.Step(MembershipChange.ADD_LEARNER, current));
  }

  /** Guards against more voters than wanted, which would raise the quorum. */
  @Test
  void learnerStaysALearnerInAFullGroup() {
    GroupMembership membership = new GroupMembership(1, VOTER_TIMEOUT_NANOS, 0);
    List<MemberProgress> group = List.of(progress("a", true, true), progress("b", false, true));
    assertThat(membership.nextStep(SECOND_NANOS, group)).isEmpty();
  }

  /** Guards against a lost voter that stays in the group and keeps raising the quorum. */
  @Test
  void unresponsiveVoterIsRemovedOnlyAfterTheTimeout() {
    GroupMembership membership = new GroupMembership(2, VOTER_TIMEOUT_NANOS, 0);
    List<MemberProgress> healthy =
        List.of(progress("a", true, true), progress("b", true, true), progress("c", false, true));
    List<MemberProgress> unresponsive =
        List.of(progress("a", true, true), progress("b", true, false), progress("c", false, true));
    assertThat(membership.nextStep(SECOND_NANOS, healthy)).isEmpty();
    assertThat(membership.nextStep(5 * SECOND_NANOS, unresponsive)).isEmpty();
    assertThat(membership.nextStep(20 * SECOND_NANOS, unresponsive))
        .contains(new GroupMembership.Step(MembershipChange.REMOVE, member("b")));
  }

  /** Guards against a learner that takes the place of a paused voter and not of a lost one. */
  @Test
  void voterThatIsUnresponsiveForLongestIsRemovedFirst() {
    GroupMembership membership = new GroupMembership(3, VOTER_TIMEOUT_NANOS, 0);
    membership.nextStep(SECOND_NANOS, threeVoters(true, true));
    membership.nextStep(2 * SECOND_NANOS, threeVoters(true, false));
    assertThat(membership.nextStep(20 * SECOND_NANOS, threeVoters(false, false)))
        .contains(new GroupMembership.Step(MembershipChange.REMOVE, member("c")));
  }

  /** Guards against a place that stays empty while the learner still receives a snapshot. */
  @ParameterizedTest
  @CsvSource({"0,false", "900,false", "990,true", "1000,true"})
  void voterIsRemovedOnlyForALearnerThatHasCaughtUp(long learnerMatchIndex, boolean isRemoved) {
    GroupMembership membership = new GroupMembership(3, VOTER_TIMEOUT_NANOS, 0);
    List<MemberProgress> group =
        List.of(
            new MemberProgress(member("a"), true, 1_000, true),
            new MemberProgress(member("b"), true, 1_000, true),
            new MemberProgress(member("c"), true, 1, false),
            new MemberProgress(member("d"), false, learnerMatchIndex, true));
    membership.nextStep(SECOND_NANOS, group);
    assertThat(membership.nextStep(20 * SECOND_NANOS, group).isPresent()).isEqualTo(isRemoved);
  }

  /**
   * Guards against a learner that lags, such as one with a stalled disk, and keeps another that has
   * caught up from an empty place or from that of a lost voter.
   */
  @ParameterizedTest
  @CsvSource({"2,PROMOTE,e", "3,REMOVE,c"})
  void laggingLearnerDoesNotBlockAnother(int voters, MembershipChange change, String changed) {
    GroupMembership membership = new GroupMembership(3, VOTER_TIMEOUT_NANOS, 0);
    List<MemberProgress> group = new ArrayList<>();
    group.add(new MemberProgress(member("a"), true, 1_000, true));
    group.add(new MemberProgress(member("b"), true, 1_000, true));
    if (voters == 3) {
      group.add(new MemberProgress(member("c"), true, 1, false));
    }
    group.add(new MemberProgress(member("d"), false, 1, true));
    group.add(new MemberProgress(member("e"), false, 1_000, true));
    membership.nextStep(SECOND_NANOS, group);
    assertThat(membership.nextStep(20 * SECOND_NANOS, group))
        .contains(new GroupMembership.Step(change, member(changed)));
  }

  private static List<MemberProgress> threeVoters(boolean hearsB, boolean hearsC) {
    return List.of(
        progress("a", true, true),
        progress("b", true, hearsB),
        progress("c", true, hearsC),
        progress("d", false, true));
  }
}
