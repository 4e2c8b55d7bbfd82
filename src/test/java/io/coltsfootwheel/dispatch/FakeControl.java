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

/** Control state for tests; each change takes the next log index. */
final class FakeControl {
  static final ServiceName KEYED = ServiceName.of("card-ledger");
  static final ServiceName UNKEYED = ServiceName.of("salon-books");
  static final Set<ServiceName> SERVICES = Set.of(KEYED, UNKEYED);
  static final int HASH_SLOTS = 4;
  static final String SESSION = "s1";

  private final Map<TargetId, TargetEntry> targets = new TreeMap<>();
  private final Map<Integer, SlotOwnership> owners = new TreeMap<>();
  private final Map<InstanceId, InstanceSpec> instances = new TreeMap<>();
  private PolicyLists lists = PolicyLists.empty();
  private long index = 10;

  static TargetSpec spec(String id, ServiceName service, int slots, boolean checks, String zone) {
    return new TargetSpec(
        TargetId.of(id),
        service,
        Address.parse("127.0.0.1:9001"),
        AvailabilityZone.of(zone),
        slots,
        120,
        checks,
        false,
        "i1");
  }

  void target(TargetSpec spec) {
    TargetEntry old = targets.get(spec.id());
    targets.put(
        spec.id(),
        new TargetEntry(spec, TargetStatus.ACTIVE, old == null ? Optional.empty() : old.grant()));
    index++;
  }

  void incarnation(String id, String incarnation) {
    TargetSpec s = targets.get(TargetId.of(id)).spec();
    target(
        new TargetSpec(
            s.id(),
            s.service(),
            s.address(),
            s.zone(),
            s.slots(),
            s.connections(),
            s.checksFences(),
            s.keepsIdentities(),
            incarnation));
  }

  void status(String id, TargetStatus status) {
    TargetEntry old = targets.get(TargetId.of(id));
    targets.put(old.spec().id(), new TargetEntry(old.spec(), status, old.grant()));
    index++;
  }

  TargetStatus status(String id) {
    return targets.get(TargetId.of(id)).status();
  }

  Fence grant(String id, InstanceId holder) {
    TargetEntry old = targets.get(TargetId.of(id));
    Fence fence = Fence.of(++index);
    targets.put(
        old.spec().id(),
        new TargetEntry(
            old.spec(), old.status(), Optional.of(new DispatchGrant(holder, SESSION, fence))));
    return fence;
  }

  void own(int slot, String id) {
    owners.put(slot, new SlotOwnership(TargetId.of(id), Fence.of(++index), Optional.empty()));
  }

  void handover(int slot, String to) {
    SlotOwnership old = owners.get(slot);
    owners.put(slot, new SlotOwnership(old.owner(), old.fence(), Optional.of(TargetId.of(to))));
    index++;
  }

  void cancelHandover(int slot) {
    SlotOwnership old = owners.get(slot);
    owners.put(slot, new SlotOwnership(old.owner(), old.fence(), Optional.empty()));
    index++;
  }

  Optional<SlotOwnership> owner(int slot) {
    return Optional.ofNullable(owners.get(slot));
  }

  void instance(InstanceId id) {
    instances.put(
        id,
        new InstanceSpec(
            id,
            AvailabilityZone.of("plateau"),
            Address.parse("127.0.0.1:1"),
            Address.parse("127.0.0.1:2"),
            SESSION));
    index++;
  }

  void lists(PolicyLists newLists) {
    lists = newLists;
    index++;
  }

  RoutingView view() {
    return new Snapshot(
        index, new TreeMap<>(targets), Map.copyOf(owners), new TreeMap<>(instances), lists);
  }

  DispatchEvent viewChanged(long nowNanos) {
    return new DispatchEvent.ViewChanged(nowNanos, view(), SERVICES);
  }

  private record Snapshot(
      long appliedIndex,
      Map<TargetId, TargetEntry> targets,
      Map<Integer, SlotOwnership> owners,
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
      return Optional.ofNullable(owners.get(hashSlot));
    }

    @Override
    public Optional<TargetEntry> target(TargetId id) {
      return Optional.ofNullable(targets.get(id));
    }

    @Override
    public Collection<TargetEntry> targetsOf(ServiceName service) {
      return targets.values().stream().filter(t -> t.spec().service().equals(service)).toList();
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
