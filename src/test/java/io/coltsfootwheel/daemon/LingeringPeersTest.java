package io.coltsfootwheel.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LingeringPeersTest {
  private static final InstanceId A = InstanceId.of("a");
  private static final InstanceId B = InstanceId.of("b");
  private static final Address ADDRESS = new Address("10.0.0.1", 7_000);
  private static final Address OTHER_ADDRESS = new Address("10.0.0.2", 7_000);

  private final LingeringPeers peers = new LingeringPeers(100);

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @BeforeEach
  void removeOneOfTwoPeers() {
    peers.replace(millis(10), Map.of(A, ADDRESS, B, ADDRESS));
    assertThat(peers.replace(millis(20), Map.of(B, ADDRESS))).containsOnlyKeys(A, B);
  }

  /** Guards against responses that end because the session of an instance expired. */
  @Test
  void removedPeerStaysLinkedForAWhile() {
    assertThat(peers.replace(millis(120), Map.of(B, ADDRESS))).containsOnlyKeys(A, B);
  }

  /** Guards against links to former peers that pile up. */
  @Test
  void removedPeerIsForgottenLater() {
    assertThat(peers.replace(millis(121), Map.of(B, ADDRESS))).containsOnlyKeys(B);
  }

  /** Guards against a link to the former address of a peer that came back. */
  @Test
  void returningPeerHasItsNewAddress() {
    assertThat(peers.replace(millis(30), Map.of(A, OTHER_ADDRESS))).containsEntry(A, OTHER_ADDRESS);
    assertThat(peers.replace(millis(150), Map.of(A, OTHER_ADDRESS))).containsOnlyKeys(A);
  }
}
