package io.coltsfootwheel.keyspace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import java.util.List;
import java.util.Optional;

/** Entry of the replicated log that changes {@link FleetState}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = FleetCommand.RegisterTarget.class, name = "register"),
  @JsonSubTypes.Type(value = FleetCommand.RemoveTarget.class, name = "remove"),
  @JsonSubTypes.Type(value = FleetCommand.AssignRanges.class, name = "assign"),
  @JsonSubTypes.Type(value = FleetCommand.ChangeConfiguration.class, name = "configure"),
  @JsonSubTypes.Type(value = FleetCommand.SetZoneEvacuation.class, name = "evacuate")
})
public sealed interface FleetCommand {
  /**
   * Adds a target or replaces its record. A later incarnation keeps the ranges of the target under
   * a new fence. Another target at the same address whose process started earlier is removed,
   * because that process must have ended. The command has no effect when the registered record is
   * of a later incarnation, when the process of another target at the address did not start
   * earlier, when this incarnation has left, or when the service of the target is not configured
   * and the record would replace a target whose service is.
   *
   * @param target the target
   */
  record RegisterTarget(TargetRecord target) implements FleetCommand {}

  /**
   * Removes a target and its ownership of keys; proposed only after its lease has expired. The
   * command has no effect when another incarnation is registered.
   *
   * @param target the target
   * @param incarnationMillis incarnation to remove
   */
  record RemoveTarget(TargetId target, long incarnationMillis) implements FleetCommand {}

  /**
   * Makes targets the owners of ranges that no target holds any more.
   *
   * @param service the service
   * @param assignments ranges with their new owners
   */
  record AssignRanges(ServiceName service, List<Assignment> assignments) implements FleetCommand {
    /** Copies the list. */
    public AssignRanges {
      assignments = List.copyOf(assignments);
    }
  }

  /**
   * Changes the configuration; has no effect when the change does not apply to the current version
   * or would make the configuration invalid.
   *
   * @param change the change
   */
  record ChangeConfiguration(ConfigurationChange change) implements FleetCommand {}

  /**
   * Starts or ends the evacuation of an availability zone; of two orders the later one in the log
   * counts.
   *
   * @param zone the zone
   * @param evacuated true when no requests are to be sent to the targets of the zone
   */
  record SetZoneEvacuation(AvailabilityZone zone, boolean evacuated) implements FleetCommand {}

  /**
   * New owner of a range. Ignored when the new owner is not registered, is leaving or offers
   * another service, or when a key of the range has an owner other than {@code previous}: an
   * assignment that was proposed on outdated state must not take a key from an owner that has not
   * released it. An assignment to the previous owner itself joins its ranges into one, under the
   * highest of their fences.
   *
   * @param range the keys
   * @param previous the owner that released the range or whose lease has expired, empty for keys
   *     without owner
   * @param owner the new owner
   * @param handoverToken handover token that the previous owner reported, or an empty string
   */
  record Assignment(
      KeyRange range, Optional<TargetId> previous, TargetId owner, String handoverToken) {
    /** Returns whether this assignment may take keys from their current owner. */
    boolean mayReplace(TargetId currentOwner) {
      return previous.filter(currentOwner::equals).isPresent();
    }
  }
}
