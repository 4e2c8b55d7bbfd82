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
   * only the lost disk identity, and learns the new one from the answer to a message for the lost
   * one.
   */
  @Test
  void answersUnderItsNewDiskIdentityWhatIsSentToTheLostOne() {
    MemberId self = new MemberId(M2, "new-disk");
    ReplicationReducer replication =
        new ReplicationReducer(
            ReplicationSettings.of(self, List.of(M1, M2), true, 1), DurableState.empty(), 0);
    MemberReducer reducer =
        new MemberReducer(self, replication, new Supervisor(), List.of(), List.of(M1, M2), 1);
    ControlMessage sent =
        new ControlMessage.Replication(
            "disk-of-m1", "lost-disk", new ReplicationMessage.Discover("disk-of-m1"));

    List<InstanceEffect> effects = reducer.receive(0, M1, sent);

    assertThat(effects)
        .filteredOn(effect -> effect instanceof InstanceEffect.SendMessage)
        .extracting(effect -> ((InstanceEffect.SendMessage) effect).message())
        .filteredOn(m -> m instanceof ControlMessage.Replication)
        .extracting(m -> ((ControlMessage.Replication) m).fromDisk())
        .containsExactly("new-disk");
  }

  /** Guards against a report that names as voters members that a repair has not promoted yet. */
  @Test
  void reportsTheMembersOfItsConfiguration() {
    MemberId self = new MemberId(M1, "disk-1");
    ReplicationReducer replication =
        new ReplicationReducer(
            ReplicationSettings.of(self, List.of(M1), true, 1), DurableState.empty(), 0);
    MemberReducer reducer =
        new MemberReducer(self, replication, new Supervisor(), List.of(), List.of(M1), 1);
    for (long nowNanos = 0;
        !reducer.isLeading() && nowNanos < 10_000_000_000L;
        nowNanos += 10_000_000) {
      confirmPersisted(reducer, nowNanos, reducer.tick(nowNanos));
    }

    assertThat(reducer.receive(10_000_000_000L, M2, new ControlMessage.ReportRequest(7)))
        .extracting(effect -> ((InstanceEffect.SendMessage) effect).message())
        .extracting(m -> ((ControlMessage.ReportAnswer) m).report().members())
        .first()
        .satisfies(
            members -> {
              assertThat(members).extracting(m -> m.member()).containsExactly(self);
              assertThat(members.get(0).voter()).isTrue();
              assertThat(members.get(0).matchIndex()).isPositive();
            });
  }

  private static void confirmPersisted(
      MemberReducer reducer, long nowNanos, List<InstanceEffect> effects) {
    for (InstanceEffect effect : effects) {
      if (effect instanceof InstanceEffect.Persist persist) {
        long sequence = persist.effect().sequence();
        confirmPersisted(
            reducer, nowNanos, reducer.apply(new ReplicationEvent.Persisted(nowNanos, sequence)));
      }
    }
  }
}
