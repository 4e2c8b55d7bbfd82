package io.coltsfootwheel.node;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.coltsfootwheel.consensus.ReplicationMessage;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.ReservedSlots;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Deflate;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Message between control members, or between control members and entries. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = NodeMessage.Replication.class, name = "r"),
  @JsonSubTypes.Type(value = NodeMessage.Join.class, name = "j"),
  @JsonSubTypes.Type(value = NodeMessage.Subscribe.class, name = "s"),
  @JsonSubTypes.Type(value = NodeMessage.Directory.class, name = "d"),
  @JsonSubTypes.Type(value = NodeMessage.Routing.class, name = "v"),
  @JsonSubTypes.Type(value = NodeMessage.Encoded.class, name = "e")
})
sealed interface NodeMessage {
  /** Returns the frame that carries this message. */
  default Frame toFrame() {
    return new Frame(FrameKind.NODE, ControlCodec.encode(this));
  }

  /** Reads the message of a frame. */
  static NodeMessage decode(Frame frame) {
    NodeMessage message = ControlCodec.decode(frame.payload(), NodeMessage.class);
    return message instanceof Encoded encoded ? encoded.message() : message;
  }

  /** Message of the consensus protocol, with the disk identities of sender and receiver. */
  record Replication(String fromDisk, String toDisk, ReplicationMessage message)
      implements NodeMessage {}

  /** Request of a control process without a group to join the group of the receiver. */
  record Join(String diskId) implements NodeMessage {}

  /**
   * Subscription of an entry to routing updates, sent at a fixed interval.
   *
   * @param linkAddress address for links to the entry
   * @param configurationVersion version of the configuration that the entry uses
   * @param term term of the ownership view that the entry uses
   * @param viewSequence number of that view within the term, or {@link EntryProgress#NO_VIEW} when
   *     a change after it was missed
   * @param load load that the entry observed since its last report
   * @param estimateSequence number within the term up to which the entry received load estimates
   * @param sentNanos time of the entry's clock at which it sent the subscription
   * @param readsEncoded whether the entry reads {@link Encoded}; false for earlier versions, which
   *     do not send this component
   */
  record Subscribe(
      Address linkAddress,
      long configurationVersion,
      long term,
      long viewSequence,
      LoadReport load,
      long estimateSequence,
      long sentNanos,
      boolean readsEncoded)
      implements NodeMessage {}

  /**
   * Answer of a control process that does not lead.
   *
   * @param leader the leader, when known
   * @param members the members of the group
   */
  record Directory(Optional<InstanceId> leader, List<InstanceId> members) implements NodeMessage {}

  /**
   * Routing update from the leader to an entry.
   *
   * @param term term of the leader
   * @param viewSequence number of the current view within the term
   * @param configurationVersion version of the current configuration
   * @param configuration configuration, when the entry has another version
   * @param view whole view of targets and owners, when the entry does not have the current view
   * @param change difference to the previous view, sent when the view has changed
   * @param loadEstimates load estimates over all entries, of the targets whose estimate changed
   *     after the sequence number that the entry stated
   * @param entries number of entries with a valid subscription
   * @param members the members of the group
   * @param estimateSequence number of the last change of load estimates, 0 in a message that
   *     answers no subscription and carries none
   * @param confirmedNanos {@link Subscribe#sentNanos} of the entry's last subscription that arrived
   *     before a quorum confirmed the leadership: the versions that this message states were the
   *     newest at that time of the entry's clock; empty when none was confirmed yet
   * @param reserves slots that are reserved for more urgent requests; empty in a message that
   *     carries no load estimates, and from a leader of an earlier version
   * @param permits permits for cold targets that this entry asked for; null in a message of an
   *     earlier version becomes empty
   */
  record Routing(
      long term,
      long viewSequence,
      long configurationVersion,
      Optional<Configuration> configuration,
      Optional<OwnershipView> view,
      Optional<OwnershipView.Change> change,
      Map<TargetId, TargetLoadEstimate> loadEstimates,
      int entries,
      List<InstanceId> members,
      long estimateSequence,
      OptionalLong confirmedNanos,
      Optional<List<ReservedSlots>> reserves,
      Optional<Permits> permits)
      implements NodeMessage {
    /** Replaces missing reserves and permits. */
    public Routing {
      reserves = reserves == null ? Optional.empty() : reserves;
      permits = permits == null ? Optional.empty() : permits;
    }

    /** Returns this update with permits for its receiver. */
    Routing withPermits(Permits granted) {
      return new Routing(
          term,
          viewSequence,
          configurationVersion,
          configuration,
          view,
          change,
          loadEstimates,
          entries,
          members,
          estimateSequence,
          confirmedNanos,
          reserves,
          Optional.of(granted));
    }

    /** Creates an update without reserves and permits. */
    Routing(
        long term,
        long viewSequence,
        long configurationVersion,
        Optional<Configuration> configuration,
        Optional<OwnershipView> view,
        Optional<OwnershipView.Change> change,
        Map<TargetId, TargetLoadEstimate> loadEstimates,
        int entries,
        List<InstanceId> members,
        long estimateSequence,
        OptionalLong confirmedNanos) {
      this(
          term,
          viewSequence,
          configurationVersion,
          configuration,
          view,
          change,
          loadEstimates,
          entries,
          members,
          estimateSequence,
          confirmedNanos,
          Optional.empty(),
          Optional.empty());
    }
  }

  /**
   * Permits for cold targets.
   *
   * @param askedNanos {@link Subscribe#sentNanos} of the subscription that asked for them; their
   *     validity counts from that time of the entry's clock
   * @param byTarget grants by target
   */
  record Permits(long askedNanos, Map<TargetId, PermitGrant> byTarget) {}

  /**
   * Message that was encoded before it was addressed, so that its encoding costs the sender the
   * same for one receiver as for hundreds.
   *
   * @param deflated the compressed encoding
   */
  record Encoded(byte[] deflated) implements NodeMessage {
    static Encoded of(NodeMessage message) {
      return new Encoded(Deflate.deflate(ControlCodec.encode(message)));
    }

    /** Returns the message as it was before the encoding. */
    NodeMessage message() {
      byte[] bytes = Deflate.inflate(deflated, Frame.MAX_PAYLOAD_BYTES);
      return ControlCodec.decode(bytes, NodeMessage.class);
    }
  }
}
