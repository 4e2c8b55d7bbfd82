package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.consensus.MembershipChange;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import org.junit.jupiter.api.Test;

class GroupMembershipTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private static MemberId member(String name) {
    return new MemberId(InstanceId.of(name), "disk");
  }

  private static MemberProgress progress(String name, boolean voter, boolean heard) {
    return new MemberProgress(member(name), voter, 1, heard);
  }

  /** Guards against a process that asks to join and never becomes a voter. */
  @Test
  void joiningProcessBecomesALearnerThenAVoter() {
    GroupMembership membership = new GroupMembership(3, 0);
    membership.recordJoinRequest(1, member("c"));
    List<MemberProgress> two = List.of(progress("a", true, true), progress("b", true, true));
    assertThat(membership.nextStep(SECOND_NANOS / 2, two))
        .contains(new GroupMembership.Step(MembershipChange.ADD_LEARNER, member("c")));
    List<MemberProgress> three =
        List.of(progress("a", true, true), progress("b", true, true), progress("c", false, true));
    assertThat(membership.nextStep(SECOND_NANOS, three))
        .contains(new GroupMembership.Step(MembershipChange.PROMOTE, member("c")));
  }

  /** Guards against more voters than wanted, which would raise the quorum. */
  @Test
  void learnerStaysALearnerInAFullGroup() {
    GroupMembership membership = new GroupMembership(1, 0);
    List<MemberProgress> group = List.of(progress("a", true, true), progress("b", false, true));
    assertThat(membership.nextStep(SECOND_NANOS, group)).isEmpty();
  }

  /** Guards against a lost voter that stays in the group and keeps raising the quorum. */
  @Test
  void unresponsiveVoterIsRemovedOnlyAfterTheTimeout() {
    GroupMembership membership = new GroupMembership(2, 0);
    List<MemberProgress> healthy =
        List.of(progress("a", true, true), progress("b", true, true), progress("c", false, true));
    List<MemberProgress> unresponsive =
        List.of(progress("a", true, true), progress("b", true, false), progress("c", false, true));
    assertThat(membership.nextStep(SECOND_NANOS, healthy)).isEmpty();
    assertThat(membership.nextStep(5 * SECOND_NANOS, unresponsive)).isEmpty();
    assertThat(membership.nextStep(20 * SECOND_NANOS, unresponsive))
        .contains(new GroupMembership.Step(MembershipChange.REMOVE, member("b")));
  }
}
