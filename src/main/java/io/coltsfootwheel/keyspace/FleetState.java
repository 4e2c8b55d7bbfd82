package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Immutable replicated state: configuration, registered targets, the owners of keys, and the zones
 * that are evacuated.
 *
 * <p>Usage: {@code state = state.apply(index, command)}.
 */
public final class FleetState {
  private static final FleetState EMPTY =
      new FleetState(
          0, Configuration.empty(), Map.of(), Map.of(), DepartedTargets.none(), Set.of());

  private final long index;
  private final Configuration configuration;
  private final Map<TargetId, TargetRecord> targets;
  private final List<TargetRecord> targetsInOrder;
  private final Map<ServiceName, RangeTable> tables;
  private final DepartedTargets departed;
  private final Set<AvailabilityZone> evacuatedZones;

  private FleetState(
      long index,
      Configuration configuration,
      Map<TargetId, TargetRecord> targets,
      Map<ServiceName, RangeTable> tables,
      DepartedTargets departed,
      Set<AvailabilityZone> evacuatedZones) {
    this.departed = departed;
    this.evacuatedZones = evacuatedZones;
    this.index = index;
    this.configuration = configuration;
    this.targets = targets;
    this.targetsInOrder = List.copyOf(targets.values());
    this.tables = tables;
  }

  /** Serialised form; the order of the components is the stored format. */
  private record Snapshot(
      long index,
      Configuration configuration,
      List<TargetRecord> targets,
      Map<ServiceName, RangeTable> tables,
      Optional<DepartedTargets> departed,
      List<AvailabilityZone> evacuatedZones) {
    /** Replaces the components that snapshots of earlier versions do not have. */
    private Snapshot {
      departed = departed == null ? Optional.empty() : departed;
      evacuatedZones = evacuatedZones == null ? List.of() : evacuatedZones;
    }
  }

  /**
   * Returns the state before the first command.
   *
   * @return a state without configuration, targets and owners
   */
  public static FleetState empty() {
    return EMPTY;
  }

  /**
   * Restores a state from a snapshot.
   *
   * @param bytes result of {@link #toSnapshot}
   * @return the state
   */
  public static FleetState fromSnapshot(byte[] bytes) {
    Snapshot snapshot = ControlCodec.decode(bytes, Snapshot.class);
    Map<TargetId, TargetRecord> targets = new TreeMap<>();
    snapshot.targets().forEach(t -> targets.put(t.id(), t));
    return new FleetState(
        snapshot.index(),
        snapshot.configuration(),
        targets,
        new TreeMap<>(snapshot.tables()),
        snapshot.departed().orElse(DepartedTargets.none()),
        new TreeSet<>(snapshot.evacuatedZones()));
  }

  /**
   * Returns a snapshot of the whole state.
   *
   * @return MessagePack bytes
   */
  public byte[] toSnapshot() {
    return ControlCodec.encode(
        new Snapshot(
            index,
            configuration,
            targetsInOrder,
            tables,
            Optional.of(departed),
            List.copyOf(evacuatedZones)));
  }

  /**
   * Returns the log index of the last applied command.
   *
   * @return the log index, 0 before the first command
   */
  public long index() {
    return index;
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the registered targets.
   *
   * @return the targets, ordered by identifier
   */
  public List<TargetRecord> targets() {
    return targetsInOrder;
  }

  /**
   * Finds a target.
   *
   * @param id the target
   * @return the target, or empty when it is not registered
   */
  public Optional<TargetRecord> target(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /**
   * Returns the owners of the keys of a service.
   *
   * @param service the service
   * @return the range table, empty for an unknown service
   */
  public RangeTable table(ServiceName service) {
    return tables.getOrDefault(service, RangeTable.empty());
  }

  /**
   * Returns the owners of all keys.
   *
   * @return range tables by service, for the services to which keys were ever assigned
   */
  public Map<ServiceName, RangeTable> tables() {
    return Map.copyOf(tables);
  }

  /**
   * Returns the zones to whose targets no requests are to be sent.
   *
   * @return the zones, ordered by name
   */
  public Set<AvailabilityZone> evacuatedZones() {
    return Collections.unmodifiableSet(evacuatedZones);
  }

  /**
   * Returns how many ranges the targets of evacuated zones own.
   *
   * @return the number of ranges, 0 once all of them have moved
   */
  public long countEvacuatedRanges() {
    return tables.values().stream()
        .flatMap(t -> t.ranges().stream())
        .filter(r -> target(r.owner()).filter(this::isEvacuated).isPresent())
        .count();
  }

  /** Returns whether the zone of a target is evacuated. */
  boolean isEvacuated(TargetRecord target) {
    return target.zone() != null && evacuatedZones.contains(target.zone());
  }

  /**
   * Applies a command. A command that does not fit the state changes only the index.
   *
   * @param commandIndex log index of the command
   * @param command the command
   * @return the new state
   */
  public FleetState apply(long commandIndex, FleetCommand command) {
    if (command instanceof FleetCommand.RegisterTarget register) {
      return register(commandIndex, register.target());
    }
    if (command instanceof FleetCommand.RemoveTarget removal) {
      return target(removal.target())
          .filter(t -> t.incarnationMillis() == removal.incarnationMillis())
          .map(t -> remove(commandIndex, t))
          .orElseGet(() -> withIndex(commandIndex));
    }
    if (command instanceof FleetCommand.AssignRanges assign) {
      return assign(commandIndex, assign);
    }
    if (command instanceof FleetCommand.SetZoneEvacuation order) {
      return withEvacuation(commandIndex, order);
    }
    FleetCommand.ChangeConfiguration change = (FleetCommand.ChangeConfiguration) command;
    return configuration.evaluate(change.change()) instanceof ChangeOutcome.Applicable applicable
        ? new FleetState(commandIndex, applicable.next(), targets, tables, departed, evacuatedZones)
        : withIndex(commandIndex);
  }

  private FleetState register(long commandIndex, TargetRecord target) {
    Optional<TargetRecord> before = target(target.id());
    boolean isOutdated =
        before.filter(b -> b.incarnationMillis() > target.incarnationMillis()).isPresent();
    if (isOutdated || hasDeparted(target) || conflictsWithTargetInUse(target)) {
      return withIndex(commandIndex);
    }
    FleetState base = this;
    for (TargetRecord other : othersAtAddressOf(target)) {
      base = base.remove(commandIndex, other);
      if (other.incarnationMillis() < target.incarnationMillis()) {
        base = base.withDeparted(other);
      }
    }
    Map<TargetId, TargetRecord> nextTargets = new TreeMap<>(base.targets);
    nextTargets.put(target.id(), target);
    boolean newIncarnation =
        before.filter(b -> b.incarnationMillis() < target.incarnationMillis()).isPresent();
    Map<ServiceName, RangeTable> nextTables = new TreeMap<>(base.tables);
    if (newIncarnation) {
      nextTables.replaceAll((s, table) -> table.withFence(target.id(), Fence.of(commandIndex)));
    }
    return new FleetState(
        commandIndex, configuration, nextTargets, nextTables, base.departed, evacuatedZones);
  }

  /**
   * Returns whether a record may not be registered because of a target in use: it would replace
   * that target, but its own service is not configured, or its process did not start later than
   * that of the target at its address.
   */
  boolean conflictsWithTargetInUse(TargetRecord target) {
    boolean isConfigured = isConfigured(target);
    boolean replacesOwnRecord =
        target(target.id()).filter(t -> !isConfigured && isConfigured(t)).isPresent();
    return replacesOwnRecord
        || othersAtAddressOf(target).stream().anyMatch(t -> !mayReplace(target, isConfigured, t));
  }

  private boolean mayReplace(TargetRecord target, boolean isConfigured, TargetRecord other) {
    boolean isLater = target.incarnationMillis() > other.incarnationMillis();
    return isConfigured(other) ? isConfigured && isLater : isConfigured || isLater;
  }

  /** Returns whether the service of a target is configured; no other target is in use. */
  boolean isConfigured(TargetRecord target) {
    return configuration.contains(target.service());
  }

  private List<TargetRecord> othersAtAddressOf(TargetRecord target) {
    return targetsInOrder.stream()
        .filter(t -> t.address().equals(target.address()) && !t.id().equals(target.id()))
        .toList();
  }

  /**
   * Returns whether this incarnation of a target was removed after it had ended. A target that was
   * removed only because it was silent has not departed.
   */
  boolean hasDeparted(TargetRecord target) {
    return departed.contains(target.id(), target.incarnationMillis());
  }

  private FleetState withDeparted(TargetRecord target) {
    return new FleetState(
        index, configuration, targets, tables, departed.with(target), evacuatedZones);
  }

  private FleetState remove(long commandIndex, TargetRecord target) {
    Map<TargetId, TargetRecord> nextTargets = new TreeMap<>(targets);
    nextTargets.remove(target.id());
    Map<ServiceName, RangeTable> nextTables = new TreeMap<>(tables);
    nextTables.replaceAll((service, table) -> table.withoutOwner(target.id()));
    FleetState next =
        new FleetState(
            commandIndex, configuration, nextTargets, nextTables, departed, evacuatedZones);
    return target.phase() == TargetPhase.LEFT ? next.withDeparted(target) : next;
  }

  private FleetState assign(long commandIndex, FleetCommand.AssignRanges command) {
    RangeTable table = table(command.service());
    for (FleetCommand.Assignment a : command.assignments()) {
      boolean acceptsKeys =
          target(a.owner())
              .filter(t -> t.phase() == TargetPhase.READY)
              .filter(t -> t.service().equals(command.service()))
              .isPresent();
      boolean isFree =
          table.ranges().stream()
              .filter(r -> r.range().overlaps(a.range()))
              .allMatch(r -> a.mayReplace(r.owner()));
      if (acceptsKeys && isFree) {
        table =
            a.mayReplace(a.owner())
                ? table.withJoined(a.range())
                : table.with(
                    new OwnedRange(
                        a.range(), a.owner(), Fence.of(commandIndex), a.handoverToken()));
      }
    }
    Map<ServiceName, RangeTable> nextTables = new TreeMap<>(tables);
    nextTables.put(command.service(), table);
    return new FleetState(
        commandIndex, configuration, targets, nextTables, departed, evacuatedZones);
  }

  private FleetState withEvacuation(long commandIndex, FleetCommand.SetZoneEvacuation order) {
    Set<AvailabilityZone> nextZones = new TreeSet<>(evacuatedZones);
    if (order.evacuated()) {
      nextZones.add(order.zone());
    } else {
      nextZones.remove(order.zone());
    }
    return new FleetState(commandIndex, configuration, targets, tables, departed, nextZones);
  }

  private FleetState withIndex(long commandIndex) {
    return new FleetState(commandIndex, configuration, targets, tables, departed, evacuatedZones);
  }
}
