package io.coltsfootwheel.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Map;

/**
 * Entry of the replicated log that changes the control state.
 *
 * <p>Commands race and may be proposed twice, so each carries what its proposer relied on, and
 * {@link ControlState#apply} rejects it when that has changed.
 *
 * <p>Usage: {@code ControlCodec.encode(new Command.AdvanceStamp())}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Command.RegisterInstance.class, name = "instance"),
  @JsonSubTypes.Type(value = Command.ExpireSession.class, name = "expire"),
  @JsonSubTypes.Type(value = Command.RegisterService.class, name = "service"),
  @JsonSubTypes.Type(value = Command.AnnounceTarget.class, name = "announce"),
  @JsonSubTypes.Type(value = Command.ChangeTargetStatus.class, name = "status"),
  @JsonSubTypes.Type(value = Command.RemoveTarget.class, name = "remove"),
  @JsonSubTypes.Type(value = Command.GrantDispatch.class, name = "grant"),
  @JsonSubTypes.Type(value = Command.RevokeDispatch.class, name = "revoke"),
  @JsonSubTypes.Type(value = Command.AssignSlots.class, name = "assign"),
  @JsonSubTypes.Type(value = Command.BeginHandover.class, name = "begin"),
  @JsonSubTypes.Type(value = Command.CancelHandover.class, name = "cancel"),
  @JsonSubTypes.Type(value = Command.CompleteHandover.class, name = "complete"),
  @JsonSubTypes.Type(value = Command.ApplyLists.class, name = "lists"),
  @JsonSubTypes.Type(value = Command.AdvanceStamp.class, name = "stamp")
})
public sealed interface Command {

  /**
   * Registers an instance; rejected while another session of the same instance is registered.
   *
   * @param spec the instance
   */
  record RegisterInstance(InstanceSpec spec) implements Command {}

  /**
   * Removes the registration of an instance and all dispatch grants of that session.
   *
   * @param instance the instance
   * @param session the session to expire
   * @param registeredIndex log index of the registration; a delayed duplicate therefore cannot
   *     expire a later registration of the same session
   * @param reason why, for explanations
   */
  record ExpireSession(InstanceId instance, String session, long registeredIndex, String reason)
      implements Command {}

  /**
   * Adds a service, or changes the move policy of one.
   *
   * @param spec the service
   */
  record RegisterService(ServiceSpec spec) implements Command {}

  /**
   * Adds a target or brings it back: a new incarnation at any time, the same one after LOST.
   *
   * @param spec the target
   */
  record AnnounceTarget(TargetSpec spec) implements Command {}

  /**
   * Changes the status of a target.
   *
   * @param target the target
   * @param status ACTIVE (from LOST), DRAINING, LOST or GONE
   * @param incarnation incarnation that the proposer means
   * @param expectedIndex value of {@link ControlState#targetChangedIndex} that the proposer saw;
   *     LOST and ACTIVE require it, 0 skips the check for an operator's DRAINING or GONE
   * @param reason why, for explanations
   */
  record ChangeTargetStatus(
      TargetId target, TargetStatus status, String incarnation, long expectedIndex, String reason)
      implements Command {}

  /**
   * Removes a drained target that owns no hash slots.
   *
   * @param target the target
   */
  record RemoveTarget(TargetId target) implements Command {}

  /**
   * Grants the right to dispatch to a target that has no dispatcher.
   *
   * @param target the target
   * @param holder the instance
   * @param session session of the instance
   * @param reason why, for explanations
   */
  record GrantDispatch(TargetId target, InstanceId holder, String session, String reason)
      implements Command {}

  /**
   * Ends a dispatch grant that its holder has given back.
   *
   * @param target the target
   * @param fence fence of the grant
   * @param expectedIndex value of {@link ControlState#targetChangedIndex} at which the holder had
   *     released the target; 0 when a leaving holder gave the grant back for good
   * @param reason why, for explanations
   */
  record RevokeDispatch(TargetId target, Fence fence, long expectedIndex, String reason)
      implements Command {}

  /**
   * Assigns hash slots that have no owner or whose owner is LOST or GONE.
   *
   * @param service the service
   * @param owner the new owner
   * @param slots hash slots
   * @param reason why, for explanations
   */
  record AssignSlots(ServiceName service, TargetId owner, List<Integer> slots, String reason)
      implements Command {
    /** Copies the list. */
    public AssignSlots {
      slots = List.copyOf(slots);
    }
  }

  /**
   * Marks hash slots for handover.
   *
   * @param service the service
   * @param slots hash slots
   * @param from present owner
   * @param to receiver
   * @param forLoad true when the move balances load; such slots do not count for even numbers
   * @param reason why, for explanations
   */
  record BeginHandover(
      ServiceName service,
      List<Integer> slots,
      TargetId from,
      TargetId to,
      boolean forLoad,
      String reason)
      implements Command {
    /** Copies the list. */
    public BeginHandover {
      slots = List.copyOf(slots);
    }
  }

  /**
   * Removes the mark for handover; the present owner keeps the hash slots.
   *
   * @param service the service
   * @param slots hash slots
   * @param handoverIndex log index of the BeginHandover
   * @param reason why, for explanations
   */
  record CancelHandover(ServiceName service, List<Integer> slots, long handoverIndex, String reason)
      implements Command {
    /** Copies the list. */
    public CancelHandover {
      slots = List.copyOf(slots);
    }
  }

  /**
   * Makes the receiver the owner of hash slots that the present owner has released.
   *
   * @param service the service
   * @param slots hash slots
   * @param from present owner
   * @param to receiver
   * @param handoverIndex log index of the BeginHandover; a delayed duplicate therefore cannot
   *     complete a later handover that is not released
   */
  record CompleteHandover(
      ServiceName service, List<Integer> slots, TargetId from, TargetId to, long handoverIndex)
      implements Command {
    /** Copies the list. */
    public CompleteHandover {
      slots = List.copyOf(slots);
    }
  }

  /**
   * Replaces both lists of the operators.
   *
   * @param changeId identity of the change; a repeated identity gets the first result
   * @param baseRevision revision on which the change was based
   * @param plans plan of each customer
   * @param allowances allowance of each plan
   */
  record ApplyLists(
      String changeId,
      long baseRevision,
      Map<CustomerId, PlanName> plans,
      Map<PlanName, Allowance> allowances)
      implements Command {
    /** Copies both lists. */
    public ApplyLists {
      plans = Map.copyOf(plans);
      allowances = Map.copyOf(allowances);
    }
  }

  /** Advances the log index, from which stamps of request identities are made. */
  record AdvanceStamp() implements Command {}
}
