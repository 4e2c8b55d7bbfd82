package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SharedFramesTest {
  /** Guards against a copy of a large update for each of hundreds of entries. */
  @Test
  void messageForManyEntriesHasOneFrame() {
    SharedFrames frames = new SharedFrames();
    NodeMessage directory = new NodeMessage.Directory(Optional.empty(), List.of());
    NodeMessage first = NodeMessage.Encoded.of(directory);
    NodeMessage second = NodeMessage.Encoded.of(directory);
    assertThat(frames.frameOf(first)).isSameAs(frames.frameOf(first));
    assertThat(frames.frameOf(second)).isNotSameAs(frames.frameOf(first));
    assertThat(NodeMessage.decode(frames.frameOf(first))).isEqualTo(directory);
  }
}
