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
  private static final ControlState EMPTY = new ControlState(StateContent.empty());

  private final StateContent content;

  private ControlState(StateContent content) {
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
   * @throws io.coltsfootwheel.model.ColtsfootwheelException UNSUPPORTED_VERSION when another
   *     version wrote the snapshot, INVALID_VALUE when the bytes are not a snapshot
   */
  public static ControlState fromSnapshot(byte[] bytes) {
    return new ControlState(SnapshotFormat.decode(bytes));
  }

  /**
   * Applies a command from the replicated log.
   *
   * @param index log index of the command, above {@link #appliedIndex()}
   * @param command the command
   * @return the new state and the result; a rejected command changes only the applied index
   * @throws io.coltsfootwheel.model.ColtsfootwheelException INVARIANT_VIOLATED when the index is
   *     not above the applied index or the command would break an invariant of the state
   */
  public Applied apply(long index, Command command) {
    CommandApplier applier = new CommandApplier(content, index);
    CommandResult result = applier.apply(command);
    return new Applied(new ControlState(applier.content()), result);
  }

  /**
   * Encodes the whole state with its format version.
   *
   * @return bytes for {@link #fromSnapshot}
   */
  public byte[] toSnapshot() {
    return SnapshotFormat.encode(content);
  }

  /**
   * Returns the log index of the last change of a target's incarnation, status or dispatch grant.
   *
   * @param target the target
   * @return the log index, 0 when the target is not known
   */
  public long targetChangedIndex(TargetId target) {
    return content.targets().get(target).map(TargetState::changedIndex).orElse(0L);
  }

  /**
   * Returns the log index at which an instance was registered.
   *
   * @param instance the instance
   * @return the log index, 0 when the instance is not registered
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
   * @return the number; hash slots that had no owner in the earlier state are not counted
   */
  public int movedSlots(ControlState before, ServiceName service) {
    Optional<SlotOwnershipTable> earlier =
        before.content.services().get(service).map(ServiceState::slots);
    Optional<SlotOwnershipTable> current = content.services().get(service).map(ServiceState::slots);
    return earlier.isPresent() && current.isPresent() ? current.get().movedSince(earlier.get()) : 0;
  }

  /**
   * Returns the reasons for the recent changes of a target.
   *
   * @param target the target
   * @return the explanations that are still kept, latest first
   */
  public List<Explanation> explainTarget(TargetId target) {
    return content.explanations().latestFirst(Explanations.target(target));
  }

  /**
   * Returns the reasons for the recent changes of an instance, also after its session expired.
   *
   * @param instance the instance
   * @return the explanations that are still kept, latest first
   */
  public List<Explanation> explainInstance(InstanceId instance) {
    return content.explanations().latestFirst(Explanations.instance(instance));
  }

  /**
   * Returns the reasons for the present owner of a hash slot and for its handover in progress.
   *
   * @param service the service
   * @param hashSlot the hash slot
   * @return the explanations that are still kept, latest first; empty for an unknown hash slot
   */
  public List<Explanation> explainSlot(ServiceName service, int hashSlot) {
    Optional<SlotOwnershipTable> table =
        content
            .services()
            .get(service)
            .map(ServiceState::slots)
            .filter(slots -> slots.contains(hashSlot));
    if (table.isEmpty()) {
      return List.of();
    }
    long fence = table.get().fence(hashSlot);
    long handoverIndex = table.get().handover(hashSlot).map(Handover::index).orElse(0L);
    return content.explanations().latestFirst(Explanations.slots(service)).stream()
        .filter(explanation -> explanation.index() == fence || explanation.index() == handoverIndex)
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
        .filter(table -> table.contains(hashSlot))
        .flatMap(table -> table.ownership(hashSlot));
  }

  @Override
  public Optional<TargetEntry> target(TargetId id) {
    return content.targets().get(id).map(TargetState::entry);
  }

  @Override
  public Collection<TargetEntry> targetsOf(ServiceName service) {
    return content.services().get(service).map(state -> state.targets().values()).orElse(List.of());
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

  StateContent content() {
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
