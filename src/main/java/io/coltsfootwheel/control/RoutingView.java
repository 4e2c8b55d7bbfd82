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
 * <p>Usage: {@code view.ownership(service, hashSlot).flatMap(o -> view.target(o.owner()))}.
 */
public interface RoutingView {
  /**
   * Returns the log index of this view.
   *
   * @return the index of the last applied command
   */
  long appliedIndex();

  /**
   * Returns the service of a name.
   *
   * @param name the name
   * @return the service, or empty when it is not configured
   */
  Optional<ServiceSpec> service(ServiceName name);

  /**
   * Returns who owns a hash slot.
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
   * @return its entries in the order of their ids
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
   * Returns the lists in force.
   *
   * @return plans and allowances
   */
  PolicyLists lists();
}
