package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ChangeOutcome;
import io.coltsfootwheel.routing.Configuration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Immutable replicated state: configuration, registered targets and owners of keys.
 *
 * <p>Usage: {@code state = state.apply(index, command)}.
 */
public final class FleetState {
  private static final FleetState EMPTY =
      new FleetState(0, Configuration.empty(), Map.of(), Map.of());

  private final long index;
  private final Configuration configuration;
  private final Map<TargetId, TargetRecord> targets;
  private final Map<ServiceName, RangeTable> tables;

  private FleetState(
      long index,
      Configuration configuration,
      Map<TargetId, TargetRecord> targets,
      Map<ServiceName, RangeTable> tables) {
    this.index = index;
    this.configuration = configuration;
    this.targets = targets;
    this.tables = tables;
  }

  /** Serialised form. */
  private record Snapshot(
      long index,
      Configuration configuration,
      List<TargetRecord> targets,
      Map<ServiceName, RangeTable> tables) {}

  /**
   * Returns the state before the first command.
   *
   * @return no configuration, targets or owners
   */
  public static FleetState empty() {
    return EMPTY;
  }

  /**
   * Restores a state.
   *
   * @param bytes result of {@link #toSnapshot}
   * @return the state
   */
  public static FleetState fromSnapshot(byte[] bytes) {
    Snapshot snapshot = ControlCodec.decode(bytes, Snapshot.class);
    Map<TargetId, TargetRecord> targets = new TreeMap<>();
    snapshot.targets().forEach(t -> targets.put(t.id(), t));
    return new FleetState(
        snapshot.index(), snapshot.configuration(), targets, new TreeMap<>(snapshot.tables()));
  }

  /**
   * Writes the whole state.
   *
   * @return MessagePack bytes
   */
  public byte[] toSnapshot() {
    return ControlCodec.encode(
        new Snapshot(index, configuration, List.copyOf(targets.values()), tables));
  }

  /**
   * Returns the index of the last command.
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
   * @return the targets in the order of their names
   */
  public List<TargetRecord> targets() {
    return List.copyOf(targets.values());
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
   * @return the table, empty for an unknown service
   */
  public RangeTable table(ServiceName service) {
    return tables.getOrDefault(service, RangeTable.empty());
  }

  /**
   * Returns the owners of all keys.
   *
   * @return the table of each service that has owners
   */
  public Map<ServiceName, RangeTable> tables() {
    return Map.copyOf(tables);
  }

  /**
   * Applies a command.
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
      boolean applies =
          target(removal.target()).filter(t -> t.bornMillis() == removal.bornMillis()).isPresent();
      return applies ? remove(commandIndex, removal.target()) : at(commandIndex);
    }
    if (command instanceof FleetCommand.AssignRanges assign) {
      return assign(commandIndex, assign);
    }
    FleetCommand.ChangeConfiguration change = (FleetCommand.ChangeConfiguration) command;
    return configuration.evaluate(change.change()) instanceof ChangeOutcome.Applicable applicable
        ? new FleetState(commandIndex, applicable.next(), targets, tables)
        : at(commandIndex);
  }

  private FleetState register(long commandIndex, TargetRecord target) {
    Optional<TargetRecord> before = target(target.id());
    if (before.filter(b -> b.bornMillis() > target.bornMillis()).isPresent()) {
      return at(commandIndex);
    }
    FleetState base = this;
    for (TargetRecord other : targets.values()) {
      if (other.address().equals(target.address()) && !other.id().equals(target.id())) {
        if (other.bornMillis() > target.bornMillis()) {
          return at(commandIndex);
        }
        base = base.remove(commandIndex, other.id());
      }
    }
    Map<TargetId, TargetRecord> nextTargets = new TreeMap<>(base.targets);
    nextTargets.put(target.id(), target);
    boolean newLife = before.filter(b -> b.bornMillis() < target.bornMillis()).isPresent();
    Map<ServiceName, RangeTable> nextTables = new TreeMap<>(base.tables);
    if (newLife) {
      nextTables.replaceAll((s, table) -> table.refenced(target.id(), Fence.of(commandIndex)));
    }
    return new FleetState(commandIndex, configuration, nextTargets, nextTables);
  }

  private FleetState remove(long commandIndex, TargetId target) {
    Map<TargetId, TargetRecord> nextTargets = new TreeMap<>(targets);
    nextTargets.remove(target);
    Map<ServiceName, RangeTable> nextTables = new TreeMap<>(tables);
    nextTables.replaceAll((service, table) -> table.without(target));
    return new FleetState(commandIndex, configuration, nextTargets, nextTables);
  }

  private FleetState assign(long commandIndex, FleetCommand.AssignRanges command) {
    RangeTable table = table(command.service());
    for (FleetCommand.Assignment a : command.assignments()) {
      boolean takesKeys =
          target(a.owner())
              .filter(t -> t.phase() == TargetPhase.READY)
              .filter(t -> t.service().equals(command.service()))
              .isPresent();
      boolean isFree =
          table.ranges().stream()
              .filter(r -> r.range().overlaps(a.range()))
              .allMatch(r -> a.replaces(r.owner()));
      if (takesKeys && isFree) {
        table =
            a.replaces(a.owner())
                ? table.joining(a.range())
                : table.with(
                    new OwnedRange(a.range(), a.owner(), Fence.of(commandIndex), a.handover()));
      }
    }
    Map<ServiceName, RangeTable> nextTables = new TreeMap<>(tables);
    nextTables.put(command.service(), table);
    return new FleetState(commandIndex, configuration, targets, nextTables);
  }

  private FleetState at(long commandIndex) {
    return new FleetState(commandIndex, configuration, targets, tables);
  }
}
