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
 * Builds the content after one command and checks the invariants at each change.
 *
 * <p>The preconditions of commands should make a violation impossible; the checks stop the replica
 * when a fault in them would give a key two owners.
 */
final class StateEditor {
  private final long index;
  private SortedTable<InstanceId, InstanceState> instances;
  private SortedTable<ServiceName, ServiceState> services;
  private SortedTable<TargetId, TargetState> targets;
  private PolicyLists lists;
  private ChangeMemory changes;
  private Explanations explanations;

  StateEditor(Content content, long index) {
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

  Content content() {
    return new Content(index, instances, services, targets, lists, changes, explanations);
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

  ChangeMemory changes() {
    return changes;
  }

  void put(InstanceSpec spec, long registeredIndex) {
    instances = instances.with(spec.id(), new InstanceState(spec, registeredIndex));
  }

  void remove(InstanceId instance) {
    for (TargetState target : targets.values()) {
      Optional<DispatchGrant> grant = target.entry().grant();
      boolean holds = grant.isPresent() && grant.get().holder().equals(instance);
      if (holds) {
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
    services.get(target.spec().service()).ifPresent(s -> put(s.with(target.entry())));
  }

  void remove(TargetState target) {
    TargetId id = target.spec().id();
    targets = targets.without(id);
    services
        .get(target.spec().service())
        .ifPresent(s -> put(new ServiceState(s.spec(), s.targets().without(id), s.slots())));
  }

  void grant(TargetState target, InstanceId holder, String session) {
    require(target.entry().grant().isEmpty(), target.spec().id() + " already has a dispatcher");
    boolean registered =
        instances.get(holder).filter(i -> i.spec().session().equals(session)).isPresent();
    require(registered, "dispatcher " + holder + " is not registered with session " + session);
    require(index > target.changedIndex(), "dispatch fence of " + target.spec().id() + " falls");
    DispatchGrant grant = new DispatchGrant(holder, session, Fence.of(index));
    put(target.withGrant(Optional.of(grant), index));
  }

  void own(ServiceState service, List<Integer> slots, TargetId owner) {
    boolean active = targets.get(owner).filter(t -> t.status() == TargetStatus.ACTIVE).isPresent();
    require(active, "new owner " + owner + " is not active");
    for (int slot : slots) {
      require(index > service.slots().fence(slot), "ownership fence of slot " + slot + " falls");
    }
    put(service.with(service.slots().withOwner(slots, owner, index)));
  }

  void replace(PolicyLists changed) {
    require(changed.revision() > lists.revision(), "revision of the lists falls");
    lists = changed;
  }

  void remember(String changeId, CommandResult result) {
    changes = changes.with(changeId, result);
  }

  void explain(String subject, String reason) {
    explanations = explanations.with(new Explanation(index, subject, reason));
  }

  private static void require(boolean holds, String fault) {
    if (!holds) {
      throw ColtsfootwheelException.of(ErrorKind.INVARIANT_VIOLATED, fault);
    }
  }
}
