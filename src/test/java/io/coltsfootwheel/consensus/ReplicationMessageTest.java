package io.coltsfootwheel.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ReplicationMessageTest {
  private static final GroupConfiguration CONFIGURATION =
      GroupConfiguration.of(List.of(new MemberId(InstanceId.of("n1"), "d1")));

  static Stream<ReplicationMessage> messages() {
    LogEntry entry = new LogEntry(3, 2, EntryKind.COMMAND, new byte[] {7});
    return Stream.of(
        new ReplicationMessage.PreVoteRequest(2, 3, 1),
        new ReplicationMessage.PreVoteResponse(2, true, 1),
        new ReplicationMessage.VoteRequest(2, 3, 1),
        new ReplicationMessage.VoteResponse(2, true),
        new ReplicationMessage.AppendRequest(2, 9, 2, 1, List.of(entry), 2),
        new ReplicationMessage.AppendResponse(2, 9, true, 3, 0),
        new ReplicationMessage.SnapshotChunk(2, 9, 3, 1, CONFIGURATION, 0, 1, new byte[] {1}),
        new ReplicationMessage.SnapshotChunkResponse(2, 9, 3, 1),
        new ReplicationMessage.Discover("d1"),
        new ReplicationMessage.DiscoverResponse("d1", true, true),
        new ReplicationMessage.Bootstrap(CONFIGURATION));
  }

  /** Guards against messages that lose their type or fields in encoding. */
  @ParameterizedTest
  @MethodSource("messages")
  void decodesToEqualMessage(ReplicationMessage message) {
    assertThat(ControlCodec.decode(ControlCodec.encode(message), ReplicationMessage.class))
        .usingRecursiveComparison()
        .isEqualTo(message);
  }
}
