package io.coltsfootwheel.consensus;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Message between members of the replication group, encoded by {@code ControlCodec}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ReplicationMessage.PreVoteRequest.class, name = "pv"),
  @JsonSubTypes.Type(value = ReplicationMessage.PreVoteResponse.class, name = "pvr"),
  @JsonSubTypes.Type(value = ReplicationMessage.VoteRequest.class, name = "v"),
  @JsonSubTypes.Type(value = ReplicationMessage.VoteResponse.class, name = "vr"),
  @JsonSubTypes.Type(value = ReplicationMessage.AppendRequest.class, name = "a"),
  @JsonSubTypes.Type(value = ReplicationMessage.AppendResponse.class, name = "ar"),
  @JsonSubTypes.Type(value = ReplicationMessage.SnapshotChunk.class, name = "s"),
  @JsonSubTypes.Type(value = ReplicationMessage.SnapshotChunkResponse.class, name = "sr"),
  @JsonSubTypes.Type(value = ReplicationMessage.Discover.class, name = "d"),
  @JsonSubTypes.Type(value = ReplicationMessage.DiscoverResponse.class, name = "dr"),
  @JsonSubTypes.Type(value = ReplicationMessage.Bootstrap.class, name = "b")
})
public sealed interface ReplicationMessage {
  /**
   * Asks whether the receiver would grant a vote; changes no state of the receiver.
   *
   * @param term term that the sender would stand for
   * @param lastIndex index of its last entry
   * @param lastTerm term of its last entry
   */
  record PreVoteRequest(long term, long lastIndex, long lastTerm) implements ReplicationMessage {}

  /**
   * Response to {@link PreVoteRequest}.
   *
   * @param term term of the request
   * @param granted whether a vote would be granted
   * @param currentTerm term of the responder
   */
  record PreVoteResponse(long term, boolean granted, long currentTerm)
      implements ReplicationMessage {}

  /**
   * Asks for a vote.
   *
   * @param term term of the candidate
   * @param lastIndex index of its last entry
   * @param lastTerm term of its last entry
   */
  record VoteRequest(long term, long lastIndex, long lastTerm) implements ReplicationMessage {}

  /**
   * Response to {@link VoteRequest}.
   *
   * @param term term of the responder
   * @param granted whether the vote is granted
   */
  record VoteResponse(long term, boolean granted) implements ReplicationMessage {}

  /**
   * Replicates entries; without entries, serves as a heartbeat.
   *
   * @param term term of the leader
   * @param round latest heartbeat round of the leader when the message was sent
   * @param previousIndex index of the entry before the first one
   * @param previousTerm term of that entry
   * @param entries the entries
   * @param commitIndex commit index of the leader
   */
  record AppendRequest(
      long term,
      long round,
      long previousIndex,
      long previousTerm,
      List<LogEntry> entries,
      long commitIndex)
      implements ReplicationMessage {}

  /**
   * Response to {@link AppendRequest}, and to a {@link SnapshotChunk} that completes the snapshot
   * or is not needed. Also rejects either request when its term is older than that of the
   * responder.
   *
   * @param term term of the responder
   * @param round round of the request
   * @param accepted whether the log is durable up to the match index
   * @param matchIndex if accepted, index up to which the logs agree; otherwise the index after
   *     which the leader should continue
   * @param rejectedIndex if not accepted, the previous index that did not match
   */
  record AppendResponse(
      long term, long round, boolean accepted, long matchIndex, long rejectedIndex)
      implements ReplicationMessage {}

  /**
   * Part of a snapshot, sent to a member whose next entry the leader has already dropped.
   *
   * @param term term of the leader
   * @param round latest heartbeat round of the leader when the message was sent
   * @param index last log index that the snapshot includes
   * @param entryTerm term of the entry at that index
   * @param configuration configuration at that index
   * @param offset position of the first byte
   * @param totalBytes size of the whole snapshot
   * @param bytes bytes of the part
   */
  record SnapshotChunk(
      long term,
      long round,
      long index,
      long entryTerm,
      GroupConfiguration configuration,
      int offset,
      int totalBytes,
      byte[] bytes)
      implements ReplicationMessage {}

  /**
   * Response to a {@link SnapshotChunk} after which the snapshot is still incomplete.
   *
   * @param term term of the responder
   * @param round round of the request
   * @param index index of the snapshot
   * @param nextOffset position of the first byte that the responder lacks
   */
  record SnapshotChunkResponse(long term, long round, long index, int nextOffset)
      implements ReplicationMessage {}

  /**
   * Asks whether the receiver's data folder is empty, and whether it bootstraps the group.
   *
   * @param diskId disk identity of the sender, echoed in the response
   */
  record Discover(String diskId) implements ReplicationMessage {}

  /**
   * Response to {@link Discover}.
   *
   * @param diskId disk identity from the request; the receiver ignores a response to another one
   * @param empty whether the responder has no term, log entries or configuration
   * @param bootstraps whether the responder is an initial member and would set the initial
   *     configuration
   */
  record DiscoverResponse(String diskId, boolean empty, boolean bootstraps)
      implements ReplicationMessage {}

  /**
   * Sets the initial configuration; ignored by members that already have a configuration.
   *
   * @param configuration the initial configuration
   */
  record Bootstrap(GroupConfiguration configuration) implements ReplicationMessage {}
}
