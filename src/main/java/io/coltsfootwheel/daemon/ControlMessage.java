package io.coltsfootwheel.daemon;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.coltsfootwheel.consensus.ReplicationMessage;
import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Optional;

/** Control message from one instance to another, encoded as one frame. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlMessage.Replication.class, name = "r"),
  @JsonSubTypes.Type(value = ControlMessage.Renew.class, name = "n"),
  @JsonSubTypes.Type(value = ControlMessage.RenewAck.class, name = "na"),
  @JsonSubTypes.Type(value = ControlMessage.Propose.class, name = "p"),
  @JsonSubTypes.Type(value = ControlMessage.Proposed.class, name = "pa"),
  @JsonSubTypes.Type(value = ControlMessage.Subscribe.class, name = "s"),
  @JsonSubTypes.Type(value = ControlMessage.StateSnapshot.class, name = "ss"),
  @JsonSubTypes.Type(value = ControlMessage.StateDelta.class, name = "sd"),
  @JsonSubTypes.Type(value = ControlMessage.TokensRequested.class, name = "tr"),
  @JsonSubTypes.Type(value = ControlMessage.TokensGranted.class, name = "tg"),
  @JsonSubTypes.Type(value = ControlMessage.ReportRequest.class, name = "lq"),
  @JsonSubTypes.Type(value = ControlMessage.ReportAnswer.class, name = "la"),
  @JsonSubTypes.Type(value = ControlMessage.Join.class, name = "j"),
  @JsonSubTypes.Type(value = ControlMessage.RemoveMember.class, name = "mr"),
  @JsonSubTypes.Type(value = ControlMessage.RemovalAnswer.class, name = "ma"),
  @JsonSubTypes.Type(value = ControlMessage.ErrorBudgetRequest.class, name = "bq"),
  @JsonSubTypes.Type(value = ControlMessage.ErrorBudgetAnswer.class, name = "ba")
})
sealed interface ControlMessage {

  /**
   * Returns the kind of the frame that carries this message.
   *
   * @return the frame kind
   */
  FrameKind frameKind();

  /**
   * Encodes this message as a frame.
   *
   * @return the frame
   */
  default Frame toFrame() {
    return new Frame(frameKind(), ControlCodec.encode(this));
  }

  /**
   * Decodes a control frame.
   *
   * @param frame a frame of a control kind
   * @return the message
   */
  static ControlMessage decode(Frame frame) {
    return ControlCodec.decode(frame.payload(), ControlMessage.class);
  }

  /**
   * Consensus message with the disk identities of both ends.
   *
   * @param fromDisk disk identity of the sender
   * @param toDisk disk identity to which the sender addresses the message, empty while it is
   *     unknown
   * @param message the message
   */
  record Replication(String fromDisk, String toDisk, ReplicationMessage message)
      implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.REPLICATION;
    }
  }

  /**
   * Lease renewal.
   *
   * @param renewal the renewal
   */
  record Renew(io.coltsfootwheel.model.Renewal renewal) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.RENEW;
    }
  }

  /**
   * Acknowledged lease renewal.
   *
   * @param ack the acknowledgement
   */
  record RenewAck(io.coltsfootwheel.model.RenewalAck ack) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.RENEW_ACK;
    }
  }

  /**
   * Request to propose a command, sent to a control member.
   *
   * @param proposalId number that the sender chose, returned with the answer
   * @param command the command
   */
  record Propose(long proposalId, Command command) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSE;
    }
  }

  /**
   * Result of a proposed command.
   *
   * @param proposalId number from the proposal
   * @param result the result, empty when the receiver is not the leader or could not commit
   */
  record Proposed(long proposalId, Optional<CommandResult> result) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSED;
    }
  }

  /**
   * Request for the commands after an index, repeated to keep the subscription from expiring.
   *
   * @param appliedIndex index that the sender has applied
   * @param linkAddress address for the answers. The receiver may not know it, since a sender whose
   *     session has expired is not registered
   */
  record Subscribe(long appliedIndex, Address linkAddress) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.SUBSCRIBE;
    }
  }

  /**
   * Whole control state, for subscribers.
   *
   * @param index index of the state
   * @param bytes encoded {@code ControlState}
   */
  record StateSnapshot(long index, byte[] bytes) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.STATE_SNAPSHOT;
    }
  }

  /**
   * One committed command, for subscribers.
   *
   * @param previousIndex index of the command before it
   * @param index index of the command
   * @param bytes encoded command
   */
  record StateDelta(long previousIndex, long index, byte[] bytes) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.STATE_DELTA;
    }
  }

  /**
   * Request for admission tokens, sent to the coordinator of the customer.
   *
   * @param customer the customer
   * @param tokens requested rate tokens
   * @param permits requested concurrency permits
   */
  record TokensRequested(CustomerId customer, int tokens, int permits) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.TOKENS;
    }
  }

  /**
   * Admission tokens granted by the coordinator of the customer.
   *
   * @param customer the customer
   * @param tokens granted rate tokens
   * @param permits granted concurrency permits
   */
  record TokensGranted(CustomerId customer, int tokens, int permits) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.TOKENS;
    }
  }

  /**
   * Request for the leader's report on the fleet.
   *
   * @param requestId number that the sender chose, returned with the answer
   */
  record ReportRequest(long requestId) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSE;
    }
  }

  /**
   * The leader's report on the fleet.
   *
   * @param requestId number from the request
   * @param report the report
   */
  record ReportAnswer(long requestId, LeaderReport report) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSED;
    }
  }

  /**
   * Request to join, sent by a control member that belongs to no group yet.
   *
   * @param diskId identity of its disk
   */
  record Join(String diskId) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSE;
    }
  }

  /**
   * Request to remove an instance from the control group.
   *
   * @param requestId number that the sender chose, returned with the answer
   * @param instance the instance
   */
  record RemoveMember(long requestId, InstanceId instance) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSE;
    }
  }

  /**
   * Result of a removal.
   *
   * @param requestId number from the request
   * @param result the result
   */
  record RemovalAnswer(long requestId, CommandResult result) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSED;
    }
  }

  /**
   * Request for the error budget counts of one instance.
   *
   * @param requestId number that the sender chose, returned with the answer
   */
  record ErrorBudgetRequest(long requestId) implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSE;
    }
  }

  /**
   * Error budget counts of one instance.
   *
   * @param requestId number from the request
   * @param counts one element for each service and window length
   */
  record ErrorBudgetAnswer(long requestId, List<ErrorBudgetCounts> counts)
      implements ControlMessage {
    @Override
    public FrameKind frameKind() {
      return FrameKind.PROPOSED;
    }
  }
}
