package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.control.DispatchGrant;
import io.coltsfootwheel.control.RoutingView;
import io.coltsfootwheel.control.SlotOwnership;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Mutable control state for tests; each change advances the log index. */
final class FakeControl {
  static final ServiceName KEYED = ServiceName.of("card-ledger");
  static final ServiceName UNKEYED = ServiceName.of("salon-books");
  static final Set<ServiceName> SERVICES = Set.of(KEYED, UNKEYED);
  static final int HASH_SLOTS = 4;
  static final String SESSION = "s1";

  private final Map<TargetId, TargetEntry> targets = new TreeMap<>();
  private final Map<Integer, SlotOwnership> ownerships = new TreeMap<>();
  private final Map<InstanceId, InstanceSpec> instances = new TreeMap<>();
  private PolicyLists lists = PolicyLists.empty();
  private long lastIndex = 10;

  static TargetSpec spec(
      String id, ServiceName service, int slots, boolean checksFences, String zone) {
    return new TargetSpec(
        TargetId.of(id),
        service,
        Address.parse("127.0.0.1:9001"),
        AvailabilityZone.of(zone),
        slots,
        120,
        checksFences,
        false,
        "i1");
  }

  void putTarget(TargetSpec spec) {
    TargetEntry current = targets.get(spec.id());
    targets.put(
        spec.id(),
        new TargetEntry(
            spec, TargetStatus.ACTIVE, current == null ? Optional.empty() : current.grant()));
    lastIndex++;
  }

  void setIncarnation(String id, String incarnation) {
    TargetSpec spec = targets.get(TargetId.of(id)).spec();
    putTarget(
        new TargetSpec(
            spec.id(),
            spec.service(),
            spec.address(),
            spec.zone(),
            spec.slots(),
            spec.connections(),
            spec.checksFences(),
            spec.keepsIdentities(),
            incarnation));
  }

  void setStatus(String id, TargetStatus status) {
    TargetEntry current = targets.get(TargetId.of(id));
    targets.put(current.spec().id(), new TargetEntry(current.spec(), status, current.grant()));
    lastIndex++;
  }

  TargetStatus status(String id) {
    return targets.get(TargetId.of(id)).status();
  }

  Fence grant(String id, InstanceId holder) {
    TargetEntry current = targets.get(TargetId.of(id));
    Fence fence = Fence.of(++lastIndex);
    targets.put(
        current.spec().id(),
        new TargetEntry(
            current.spec(),
            current.status(),
            Optional.of(new DispatchGrant(holder, SESSION, fence))));
    return fence;
  }

  void setOwner(int slot, String id) {
    ownerships.put(
        slot, new SlotOwnership(TargetId.of(id), Fence.of(++lastIndex), Optional.empty()));
  }

  void startHandover(int slot, String nextOwner) {
    SlotOwnership current = ownerships.get(slot);
    ownerships.put(
        slot,
        new SlotOwnership(current.owner(), current.fence(), Optional.of(TargetId.of(nextOwner))));
    lastIndex++;
  }

  void cancelHandover(int slot) {
    SlotOwnership current = ownerships.get(slot);
    ownerships.put(slot, new SlotOwnership(current.owner(), current.fence(), Optional.empty()));
    lastIndex++;
  }

  Optional<SlotOwnership> owner(int slot) {
    return Optional.ofNullable(ownerships.get(slot));
  }

  void putInstance(InstanceId id) {
    instances.put(
        id,
        new InstanceSpec(
            id,
            AvailabilityZone.of("plateau"),
            Address.parse("127.0.0.1:1"),
            Address.parse("127.0.0.1:2"),
            SESSION));
    lastIndex++;
  }

  void setPolicyLists(PolicyLists newPolicyLists) {
    lists = newPolicyLists;
    lastIndex++;
  }

  RoutingView view() {
    return new Snapshot(
        lastIndex, new TreeMap<>(targets), Map.copyOf(ownerships), new TreeMap<>(instances), lists);
  }

  DispatchEvent viewChanged(long nowNanos) {
    return new DispatchEvent.ViewChanged(nowNanos, view(), SERVICES);
  }

  private record Snapshot(
      long appliedIndex,
      Map<TargetId, TargetEntry> targets,
      Map<Integer, SlotOwnership> ownerships,
      Map<InstanceId, InstanceSpec> instanceMap,
      PolicyLists lists)
      implements RoutingView {
    @Override
    public Optional<ServiceSpec> service(ServiceName name) {
      boolean keyed = name.equals(KEYED);
      return SERVICES.contains(name)
          ? Optional.of(
              new ServiceSpec(name, keyed, keyed ? HASH_SLOTS : 0, MovePolicy.AVAILABILITY))
          : Optional.empty();
    }

    @Override
    public Optional<SlotOwnership> ownership(ServiceName service, int hashSlot) {
      return Optional.ofNullable(ownerships.get(hashSlot));
    }

    @Override
    public Optional<TargetEntry> target(TargetId id) {
      return Optional.ofNullable(targets.get(id));
    }

    @Override
    public Collection<TargetEntry> targetsOf(ServiceName service) {
      return targets.values().stream()
          .filter(entry -> entry.spec().service().equals(service))
          .toList();
    }

    @Override
    public Optional<InstanceSpec> instance(InstanceId id) {
      return Optional.ofNullable(instanceMap.get(id));
    }

    @Override
    public Collection<InstanceSpec> instances() {
      return List.copyOf(instanceMap.values());
    }
  }
}
