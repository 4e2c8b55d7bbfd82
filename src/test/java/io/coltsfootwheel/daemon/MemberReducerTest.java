package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.consensus.DurableState;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationEvent;
import io.coltsfootwheel.consensus.ReplicationMessage;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import org.junit.jupiter.api.Test;

class MemberReducerTest {
  private static final InstanceId M1 = InstanceId.of("m1");
  private static final InstanceId M2 = InstanceId.of("m2");

  /**
   * Guards against a member that is never repaired after the loss of its disk: the leader knows
   * only the lost identity, and learns the new one from the answer to what it sends to the old one.
   */
  @Test
  void answersUnderItsNewDiskIdentityWhatIsSentToTheLostOne() {
    MemberId self = new MemberId(M2, "new-disk");
    ReplicationReducer replication =
        new ReplicationReducer(
            ReplicationSettings.of(self, List.of(M1, M2), true, 1), DurableState.empty(), 0);
    MemberReducer part =
        new MemberReducer(self, replication, new Supervisor(), List.of(), List.of(M1, M2), 1);
    ControlMessage sent =
        new ControlMessage.Replication(
            "disk-of-m1", "lost-disk", new ReplicationMessage.Discover("disk-of-m1"));

    List<InstanceEffect> effects = part.receive(0, M1, sent);

    assertThat(effects)
        .filteredOn(e -> e instanceof InstanceEffect.SendMessage)
        .extracting(e -> ((InstanceEffect.SendMessage) e).message())
        .filteredOn(m -> m instanceof ControlMessage.Replication)
        .extracting(m -> ((ControlMessage.Replication) m).fromDisk())
        .containsExactly("new-disk");
  }

  /** Guards against operators who are told of voters that a repair has not promoted yet. */
  @Test
  void reportsTheMembersOfItsConfiguration() {
    MemberId self = new MemberId(M1, "disk-1");
    ReplicationReducer replication =
        new ReplicationReducer(
            ReplicationSettings.of(self, List.of(M1), true, 1), DurableState.empty(), 0);
    MemberReducer part =
        new MemberReducer(self, replication, new Supervisor(), List.of(), List.of(M1), 1);
    for (long now = 0; !part.isLeading() && now < 10_000_000_000L; now += 10_000_000) {
      syncAll(part, now, part.tick(now));
    }

    assertThat(part.receive(10_000_000_000L, M2, new ControlMessage.ReportRequest(7)))
        .extracting(e -> ((InstanceEffect.SendMessage) e).message())
        .extracting(m -> ((ControlMessage.ReportAnswer) m).report().members())
        .first()
        .satisfies(
            members -> {
              assertThat(members).extracting(m -> m.member()).containsExactly(self);
              assertThat(members.get(0).voter()).isTrue();
              assertThat(members.get(0).matchIndex()).isPositive();
            });
  }

  private static void syncAll(MemberReducer part, long now, List<InstanceEffect> effects) {
    for (InstanceEffect effect : effects) {
      if (effect instanceof InstanceEffect.Persist persist) {
        long sequence = persist.effect().sequence();
        syncAll(part, now, part.apply(new ReplicationEvent.Persisted(now, sequence)));
      }
    }
  }
}
