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
import io.coltsfootwheel.model.SortedCopy;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Map;

/**
 * Entry of the replicated log that changes the control state.
 *
 * <p>Commands are proposed concurrently and may be proposed twice. Each therefore carries the facts
 * on which its proposer relied, such as a session, a fence or a log index, and {@link
 * ControlState#apply} rejects the command when these facts have changed.
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
   * @param spec the instance and its session
   */
  record RegisterInstance(InstanceSpec spec) implements Command {}

  /**
   * Removes the registration of an instance and all its dispatch grants.
   *
   * @param instance the instance
   * @param session the session to expire
   * @param registeredIndex log index of the registration; it prevents a delayed duplicate of this
   *     command from expiring a later registration of the same session
   * @param reason reason kept for {@link ControlState#explainInstance}
   */
  record ExpireSession(InstanceId instance, String session, long registeredIndex, String reason)
      implements Command {}

  /**
   * Adds a service, or changes the move policy of an existing one.
   *
   * @param spec the service
   */
  record RegisterService(ServiceSpec spec) implements Command {}

  /**
   * Adds a target or updates a known one. A new incarnation becomes ACTIVE; the present incarnation
   * recovers from LOST; a superseded incarnation, and the present one after GONE, are rejected.
   *
   * @param spec the target
   */
  record AnnounceTarget(TargetSpec spec) implements Command {}

  /**
   * Changes the status of a target.
   *
   * @param target the target
   * @param status ACTIVE (from LOST), DRAINING, LOST or GONE
   * @param incarnation incarnation of the target to which the change applies
   * @param expectedIndex value of {@link ControlState#targetChangedIndex} on which the proposer
   *     relied; LOST and ACTIVE require it, and 0 skips the check for an operator's DRAINING or
   *     GONE
   * @param reason reason kept for {@link ControlState#explainTarget}
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
   * Grants an instance the right to dispatch to a target; rejected while the target has a
   * dispatcher.
   *
   * @param target the target
   * @param holder the instance that becomes the dispatcher
   * @param session session of the instance
   * @param reason reason kept for {@link ControlState#explainTarget}
   */
  record GrantDispatch(TargetId target, InstanceId holder, String session, String reason)
      implements Command {}

  /**
   * Ends a dispatch grant under which its holder sends nothing more to the target.
   *
   * @param target the target
   * @param fence fence of the grant
   * @param expectedIndex value of {@link ControlState#targetChangedIndex} at which the holder had
   *     released the target; 0 skips the check for a grant returned by an instance that leaves
   * @param reason reason kept for {@link ControlState#explainTarget}
   */
  record RevokeDispatch(TargetId target, Fence fence, long expectedIndex, String reason)
      implements Command {}

  /**
   * Assigns hash slots that have no owner or whose owner is LOST or GONE.
   *
   * @param service the service
   * @param owner the new owner, an ACTIVE target of the service
   * @param slots hash slots
   * @param reason reason kept for {@link ControlState#explainSlot}
   */
  record AssignSlots(ServiceName service, TargetId owner, List<Integer> slots, String reason)
      implements Command {
    /** Copies the list. */
    public AssignSlots {
      slots = List.copyOf(slots);
    }
  }

  /**
   * Begins the handover of hash slots; the present owner keeps them until it has released them.
   *
   * @param service the service
   * @param slots hash slots
   * @param from present owner
   * @param to target that becomes the owner, an ACTIVE target of the service
   * @param forLoad true when the move balances load; such hash slots are not counted when the
   *     number of hash slots per target is balanced
   * @param reason reason kept for {@link ControlState#explainSlot}
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
   * Cancels the handover of hash slots; the present owner keeps them.
   *
   * @param service the service
   * @param slots hash slots
   * @param handoverIndex log index of the BeginHandover
   * @param reason reason kept for {@link ControlState#explainSlot}
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
   * @param handoverIndex log index of the BeginHandover; it prevents a delayed duplicate of this
   *     command from completing a later handover that the owner has not released
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
   * Replaces the operators' lists of plans and allowances.
   *
   * @param changeId identity of the change; a repeated identity gets the result of the first change
   * @param baseRevision revision of the lists on which the change is based; when it is not the
   *     current one, the result is a {@link CommandResult.Conflict}
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
      plans = SortedCopy.ofMap(plans);
      allowances = SortedCopy.ofMap(allowances);
    }
  }

  /**
   * Changes nothing but the log index. Stamps of request identities are made from that index, and
   * this command makes them advance when there is nothing else to apply.
   */
  record AdvanceStamp() implements Command {}
}
