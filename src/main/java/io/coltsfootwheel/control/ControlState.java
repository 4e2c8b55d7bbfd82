package io.coltsfootwheel.control;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Replicated control state at one log index; immutable.
 *
 * <p>Usage: {@code ControlState next = state.apply(index, command).state()}.
 */
public final class ControlState implements RoutingView {
  private static final ControlState EMPTY = new ControlState(Content.empty());

  private final Content content;

  private ControlState(Content content) {
    this.content = content;
  }

  /**
   * Returns the state before the first command.
   *
   * @return the empty state with applied index 0
   */
  public static ControlState empty() {
    return EMPTY;
  }

  /**
   * Reads a snapshot.
   *
   * @param bytes bytes from {@link #toSnapshot()}
   * @return the state
   * @throws io.coltsfootwheel.model.ColtsfootwheelException UNSUPPORTED_VERSION when a newer
   *     version wrote the snapshot, INVALID_VALUE when the bytes are not a snapshot
   */
  public static ControlState fromSnapshot(byte[] bytes) {
    return new ControlState(SnapshotFormat.decode(bytes));
  }

  /**
   * Applies a command of the log.
   *
   * @param index log index of the command, above {@link #appliedIndex()}
   * @param command the command
   * @return the new state and the result; a rejected command changes only the applied index
   * @throws io.coltsfootwheel.model.ColtsfootwheelException INVARIANT_VIOLATED when the index does
   *     not rise or a command would break an invariant of the state
   */
  public Applied apply(long index, Command command) {
    CommandApplier applier = new CommandApplier(content, index);
    CommandResult result = applier.apply(command);
    return new Applied(new ControlState(applier.content()), result);
  }

  /**
   * Writes the whole state with its format version.
   *
   * @return the bytes
   */
  public byte[] toSnapshot() {
    return SnapshotFormat.encode(content);
  }

  /**
   * Returns the index of the last change of a target: its announcement, status or grant.
   *
   * @param target the target
   * @return the log index, 0 when the target is not known
   */
  public long targetChangedIndex(TargetId target) {
    return content.targets().get(target).map(TargetState::changedIndex).orElse(0L);
  }

  /**
   * Returns the index at which an instance was registered.
   *
   * @param instance the instance
   * @return the log index, 0 when it is not registered
   */
  public long registeredIndex(InstanceId instance) {
    return content.instances().get(instance).map(InstanceState::registeredIndex).orElse(0L);
  }

  /**
   * Returns the services.
   *
   * @return the services in the order of their names
   */
  public Collection<ServiceSpec> services() {
    return content.services().values().stream().map(ServiceState::spec).toList();
  }

  /**
   * Counts the hash slots of a service that had another owner in an earlier state.
   *
   * @param before the earlier state
   * @param service the service
   * @return the number; hash slots without an owner before are not counted
   */
  public int movedSlots(ControlState before, ServiceName service) {
    Optional<SlotTable> from = before.content.services().get(service).map(ServiceState::slots);
    Optional<SlotTable> to = content.services().get(service).map(ServiceState::slots);
    return from.isPresent() && to.isPresent() ? to.get().movedSince(from.get()) : 0;
  }

  /**
   * Explains a target.
   *
   * @param target the target
   * @return recent changes, latest first
   */
  public List<Explanation> explainTarget(TargetId target) {
    return content.explanations().of(Explanations.target(target));
  }

  /**
   * Explains an instance, also after its session expired.
   *
   * @param instance the instance
   * @return recent changes, latest first
   */
  public List<Explanation> explainInstance(InstanceId instance) {
    return content.explanations().of(Explanations.instance(instance));
  }

  /**
   * Explains the present ownership of a hash slot and its handover in progress.
   *
   * @param service the service
   * @param hashSlot the hash slot
   * @return the changes that are still known, latest first
   */
  public List<Explanation> explainSlot(ServiceName service, int hashSlot) {
    Optional<SlotTable> table =
        content.services().get(service).map(ServiceState::slots).filter(t -> t.has(hashSlot));
    if (table.isEmpty()) {
      return List.of();
    }
    long fence = table.get().fence(hashSlot);
    long handover = table.get().handover(hashSlot).map(Handover::index).orElse(0L);
    return content.explanations().of(Explanations.slots(service)).stream()
        .filter(e -> e.index() == fence || e.index() == handover)
        .toList();
  }

  @Override
  public long appliedIndex() {
    return content.index();
  }

  @Override
  public Optional<ServiceSpec> service(ServiceName name) {
    return content.services().get(name).map(ServiceState::spec);
  }

  @Override
  public Optional<SlotOwnership> ownership(ServiceName service, int hashSlot) {
    return content
        .services()
        .get(service)
        .map(ServiceState::slots)
        .filter(table -> table.has(hashSlot))
        .flatMap(table -> table.ownership(hashSlot));
  }

  @Override
  public Optional<TargetEntry> target(TargetId id) {
    return content.targets().get(id).map(TargetState::entry);
  }

  @Override
  public Collection<TargetEntry> targetsOf(ServiceName service) {
    return content.services().get(service).map(s -> s.targets().values()).orElse(List.of());
  }

  @Override
  public Optional<InstanceSpec> instance(InstanceId id) {
    return content.instances().get(id).map(InstanceState::spec);
  }

  @Override
  public Collection<InstanceSpec> instances() {
    return content.instances().values().stream().map(InstanceState::spec).toList();
  }

  @Override
  public PolicyLists lists() {
    return content.lists();
  }

  Content content() {
    return content;
  }

  /**
   * Result of applying a command.
   *
   * @param state the state after the command
   * @param result the result for the proposer
   */
  public record Applied(ControlState state, CommandResult result) {}
}
