package io.coltsfootwheel.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BootstrapTest {
  private static final MemberId FIRST = DrivenMember.member(1);
  private static final MemberId SECOND = DrivenMember.member(2);
  private static final MemberId THIRD = DrivenMember.member(3);

  private static ReplicationMessage.DiscoverResponse response(
      MemberId to, boolean empty, boolean bootstraps) {
    return new ReplicationMessage.DiscoverResponse(to.diskId(), empty, bootstraps);
  }

  /**
   * Guards against a group that is never founded, because the first initial member was killed and
   * started again before it had founded the group; and against two members that found it.
   */
  @ParameterizedTest
  @CsvSource({"true, false, true", "true, true, false", "false, false, false"})
  void secondMemberFoundsTheGroupOnlyWhenTheFirstDoesNotBootstrap(
      boolean firstEmpty, boolean firstBootstraps, boolean founds) {
    DrivenMember second = new DrivenMember(SECOND, DurableState.empty()).tickAfter(1_000);
    second.receive(THIRD, response(SECOND, true, true)).tickAfter(50);
    assertThat(second.reducer().configuration()).as("before the first has answered").isEmpty();
    second.receive(FIRST, response(SECOND, firstEmpty, firstBootstraps)).tickAfter(50);
    assertThat(second.reducer().configuration().isPresent()).isEqualTo(founds);
  }

  /** Guards against a member that is taken for one that founds the group, though it never will. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void memberTellsWhetherItBootstraps(boolean initial) {
    List<MemberId> initialMembers = initial ? List.of(FIRST, SECOND, THIRD) : List.of();
    DrivenMember first =
        new DrivenMember(
            FIRST, DurableState.empty(), initialMembers.stream().map(MemberId::instance).toList());
    first.receive(SECOND, new ReplicationMessage.Discover(SECOND.diskId()));
    assertThat(first.sent(ReplicationMessage.DiscoverResponse.class))
        .containsExactly(response(SECOND, true, initial));
  }
}
