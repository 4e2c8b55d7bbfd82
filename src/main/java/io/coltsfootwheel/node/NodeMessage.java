package io.coltsfootwheel.node;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.coltsfootwheel.consensus.ReplicationMessage;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Message between control members, and between them and entries. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = NodeMessage.Replication.class, name = "r"),
  @JsonSubTypes.Type(value = NodeMessage.Join.class, name = "j"),
  @JsonSubTypes.Type(value = NodeMessage.Subscribe.class, name = "s"),
  @JsonSubTypes.Type(value = NodeMessage.Directory.class, name = "d"),
  @JsonSubTypes.Type(value = NodeMessage.Routing.class, name = "v")
})
sealed interface NodeMessage {
  /** Returns the frame that carries this message. */
  default Frame toFrame() {
    return new Frame(FrameKind.NODE, ControlCodec.encode(this));
  }

  /** Reads the message of a frame. */
  static NodeMessage decode(Frame frame) {
    return ControlCodec.decode(frame.payload(), NodeMessage.class);
  }

  /** Message of the replicated log with the disk identities of both ends. */
  record Replication(String fromDisk, String toDisk, ReplicationMessage message)
      implements NodeMessage {}

  /** A control process that belongs to no group asks to join. */
  record Join(String diskId) implements NodeMessage {}

  /**
   * Sent by an entry every few hundred milliseconds.
   *
   * @param linkAddress where the entry can be reached
   * @param configurationVersion version that it routes by
   * @param term term of the view that it routes by
   * @param viewSequence number of that view within the term
   * @param load what it observed since the last report
   */
  record Subscribe(
      Address linkAddress, long configurationVersion, long term, long viewSequence, LoadReport load)
      implements NodeMessage {}

  /**
   * Answer of a member that does not lead.
   *
   * @param leader the leader, when known
   * @param members the members of the group
   */
  record Directory(Optional<InstanceId> leader, List<InstanceId> members) implements NodeMessage {}

  /**
   * What the leader tells an entry.
   *
   * @param term term of the leader
   * @param viewSequence number of the present view
   * @param configurationVersion version in force
   * @param configuration configuration, when the entry has another version
   * @param view targets and owners, when the entry has neither this nor the previous view
   * @param change difference to the previous view, sent when the view has changed
   * @param pressure how busy each target is over all entries
   * @param entries entries that reported lately
   * @param members the members of the group
   */
  record Routing(
      long term,
      long viewSequence,
      long configurationVersion,
      Optional<Configuration> configuration,
      Optional<OwnershipView> view,
      Optional<OwnershipView.Change> change,
      Map<TargetId, TargetLoadEstimate> pressure,
      int entries,
      List<InstanceId> members)
      implements NodeMessage {}
}
