package io.coltsfootwheel.relay;

import static io.coltsfootwheel.relay.RelayFixture.KEYED;
import static io.coltsfootwheel.relay.RelayFixture.UNKEYED;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.OwnershipView;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class EvacuationRelayTest {
  /** The margins to connect and in transit, so that the bound of an evacuation is over at once. */
  private static final long MARGIN_MILLIS = 900;

  private static OwnershipView view(
      OwnershipView.Target keyed,
      OwnershipView.Target unkeyed,
      OwnershipView.Target other,
      ScriptedTarget owner) {
    return new OwnershipView(
        List.of(keyed, unkeyed, other),
        List.of(new OwnershipView.Range(KEYED, KeyRange.ALL, owner.id(), true, 0)));
  }

  /**
   * Guards against requests over sockets to an evacuated zone after the bound, also those that wait
   * for their key to move; and against targets that are not used again at once after the end.
   */
  @Test
  void requestsFollowTheKeysOutOfTheZoneAndBack() {
    try (ScriptedTarget first = new ScriptedTarget("a", KEYED, ScriptedTarget.Step.ANSWER);
        ScriptedTarget unkeyed = new ScriptedTarget("b", UNKEYED, ScriptedTarget.Step.ANSWER);
        ScriptedTarget other = new ScriptedTarget("c", KEYED, ScriptedTarget.Step.ANSWER);
        RelayFixture entry = new RelayFixture(MARGIN_MILLIS, RelayFixture.twoServices())) {
      OwnershipView.Target firstEvacuated = TargetChooserTest.evacuated(first.view());
      OwnershipView.Target unkeyedEvacuated = TargetChooserTest.evacuated(unkeyed.view());
      OwnershipView before = view(first.view(), unkeyed.view(), other.view(), first);
      entry.updateOwnership(before);
      assertThat(entry.get(KEYED, "r1").statusCode()).isEqualTo(200);
      assertThat(entry.get(UNKEYED, "r2").statusCode()).isEqualTo(200);

      entry.updateOwnership(view(firstEvacuated, unkeyedEvacuated, other.view(), first));
      CompletableFuture<HttpResponse<String>> waiting = entry.send(KEYED, "r3");
      assertThat(entry.get(UNKEYED, "r4").statusCode()).isEqualTo(503);
      entry.updateOwnership(view(firstEvacuated, unkeyedEvacuated, other.view(), other));
      assertThat(waiting.join().statusCode()).isEqualTo(200);
      assertThat(first.requests()).hasSize(1);
      assertThat(unkeyed.requests()).hasSize(1);
      assertThat(other.requests()).hasSize(1);

      entry.updateOwnership(before);
      assertThat(entry.get(KEYED, "r5").statusCode()).isEqualTo(200);
      assertThat(entry.get(UNKEYED, "r6").statusCode()).isEqualTo(200);
      assertThat(first.requests()).hasSize(2);
      assertThat(entry.logLines()).filteredOn(l -> l.contains("zones.evacuated")).hasSize(2);
    }
  }
}
