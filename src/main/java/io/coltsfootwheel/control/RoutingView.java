package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import java.util.Collection;
import java.util.Optional;

/**
 * Read-only view of the control state at one log index, used to route requests.
 *
 * <p>Usage: {@code view.ownership(service, hashSlot).flatMap(owned -> view.target(owned.owner()))}.
 */
public interface RoutingView {
  /**
   * Returns the log index of this view.
   *
   * @return the index of the last applied command
   */
  long appliedIndex();

  /**
   * Returns the service with a name.
   *
   * @param name the name
   * @return the service, or empty when no such service is registered
   */
  Optional<ServiceSpec> service(ServiceName name);

  /**
   * Returns the owner of a hash slot.
   *
   * @param service a keyed service
   * @param hashSlot 0 to {@code hashSlots - 1}
   * @return the ownership, or empty while the slot has no owner
   */
  Optional<SlotOwnership> ownership(ServiceName service, int hashSlot);

  /**
   * Returns a target.
   *
   * @param id the target
   * @return its entry, or empty when it is not known
   */
  Optional<TargetEntry> target(TargetId id);

  /**
   * Returns the targets of a service.
   *
   * @param service the service
   * @return their entries in the order of their ids, empty for an unknown service
   */
  Collection<TargetEntry> targetsOf(ServiceName service);

  /**
   * Returns an instance.
   *
   * @param id the instance
   * @return its specification, or empty when it is not registered
   */
  Optional<InstanceSpec> instance(InstanceId id);

  /**
   * Returns all registered instances.
   *
   * @return the instances in the order of their ids
   */
  Collection<InstanceSpec> instances();

  /**
   * Returns the operators' lists in force.
   *
   * @return plan of each customer and allowance of each plan
   */
  PolicyLists lists();
}
