package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Optional;

/**
 * Builds the content after one command and checks the invariants of the state at each change.
 *
 * <p>The preconditions that the commands check should make a violation impossible. If one of them
 * is wrong, the checks here stop the replica before a key gets two owners.
 */
final class StateEditor {
  private final long index;
  private SortedTable<InstanceId, InstanceState> instances;
  private SortedTable<ServiceName, ServiceState> services;
  private SortedTable<TargetId, TargetState> targets;
  private PolicyLists lists;
  private ChangeResults changes;
  private Explanations explanations;

  StateEditor(StateContent content, long index) {
    require(index > content.index(), "log index " + index + " is not above " + content.index());
    this.index = index;
    this.instances = content.instances();
    this.services = content.services();
    this.targets = content.targets();
    this.lists = content.lists();
    this.changes = content.changes();
    this.explanations = content.explanations();
  }

  long index() {
    return index;
  }

  StateContent content() {
    return new StateContent(index, instances, services, targets, lists, changes, explanations);
  }

  SortedTable<InstanceId, InstanceState> instances() {
    return instances;
  }

  SortedTable<ServiceName, ServiceState> services() {
    return services;
  }

  SortedTable<TargetId, TargetState> targets() {
    return targets;
  }

  PolicyLists lists() {
    return lists;
  }

  ChangeResults changes() {
    return changes;
  }

  void put(InstanceSpec spec, long registeredIndex) {
    instances = instances.with(spec.id(), new InstanceState(spec, registeredIndex));
  }

  void remove(InstanceId instance) {
    for (TargetState target : targets.values()) {
      Optional<DispatchGrant> grant = target.entry().grant();
      boolean isHolder = grant.isPresent() && grant.get().holder().equals(instance);
      if (isHolder) {
        require(false, "instance " + instance + " still holds a dispatch grant");
      }
    }
    instances = instances.without(instance);
  }

  void put(ServiceState service) {
    services = services.with(service.spec().name(), service);
  }

  void put(TargetState target) {
    TargetId id = target.spec().id();
    targets = targets.with(id, target);
    services.get(target.spec().service()).ifPresent(service -> put(service.with(target.entry())));
  }

  void remove(TargetState target) {
    TargetId id = target.spec().id();
    targets = targets.without(id);
    services
        .get(target.spec().service())
        .ifPresent(
            service ->
                put(
                    new ServiceState(
                        service.spec(), service.targets().without(id), service.slots())));
  }

  void grant(TargetState target, InstanceId holder, String session) {
    require(target.entry().grant().isEmpty(), target.spec().id() + " already has a dispatcher");
    boolean registered =
        instances
            .get(holder)
            .filter(instance -> instance.spec().session().equals(session))
            .isPresent();
    require(registered, "dispatcher " + holder + " is not registered with session " + session);
    require(
        index > target.changedIndex(),
        "dispatch fence of " + target.spec().id() + " does not increase");
    DispatchGrant grant = new DispatchGrant(holder, session, Fence.of(index));
    put(target.withGrant(Optional.of(grant), index));
  }

  void assignOwner(ServiceState service, List<Integer> slots, TargetId owner) {
    boolean active =
        targets.get(owner).filter(target -> target.status() == TargetStatus.ACTIVE).isPresent();
    require(active, "new owner " + owner + " is not active");
    for (int slot : slots) {
      require(
          index > service.slots().fence(slot),
          "ownership fence of slot " + slot + " does not increase");
    }
    put(service.with(service.slots().withOwner(slots, owner, index)));
  }

  void replaceLists(PolicyLists newLists) {
    require(newLists.revision() > lists.revision(), "revision of the lists does not increase");
    lists = newLists;
  }

  void recordResult(String changeId, CommandResult result) {
    changes = changes.with(changeId, result);
  }

  void explain(String subject, String reason) {
    explanations = explanations.with(new Explanation(index, subject, reason));
  }

  private static void require(boolean condition, String violation) {
    if (!condition) {
      throw ColtsfootwheelException.of(ErrorKind.INVARIANT_VIOLATED, violation);
    }
  }
}
