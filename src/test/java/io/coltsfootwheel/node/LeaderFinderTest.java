package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LeaderFinderTest {
  private static final InstanceId A = InstanceId.of("10.0.0.1");
  private static final InstanceId B = InstanceId.of("10.0.0.2");
  private static final InstanceId C = InstanceId.of("10.0.0.3");

  private final LeaderFinder finder = new LeaderFinder(List.of(A, B));

  /** Guards against an entry that accepts updates of a deposed leader. */
  @Test
  void earlierTermIsIgnored() {
    assertThat(finder.heard(1, B, 5, List.of(A, B, C))).isTrue();
    assertThat(finder.heard(2, A, 4, List.of())).isFalse();
    assertThat(finder.leader()).contains(B);
  }

  /** Guards against an entry that keeps asking only a failed leader. */
  @Test
  void allKnownProcessesAreAskedWhenTheLeaderIsUnresponsive() {
    finder.heard(1, B, 5, List.of(A, B, C));
    assertThat(finder.membersToAsk(100_000_000)).containsExactly(B);
    assertThat(finder.membersToAsk(700_000_000)).containsExactlyInAnyOrder(A, B, C);
  }

  /** Guards against an entry that keeps a leader after that leader answered as a follower. */
  @Test
  void leaderThatStepsDownIsRemoved() {
    finder.heard(1, B, 5, List.of(A, B, C));
    NodeMessage.Directory directory = new NodeMessage.Directory(Optional.of(C), List.of(A, B, C));
    assertThat(finder.recordDirectory(B, directory)).contains(C);
    assertThat(finder.leader()).isEmpty();
  }
}
