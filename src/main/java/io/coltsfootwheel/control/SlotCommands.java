package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.CommandApplier.rejected;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;

/** Applies commands that register services or change the owners of their hash slots. */
final class SlotCommands {
  private static final int MAX_HASH_SLOTS = 1 << 20;

  private final StateEditor editor;

  SlotCommands(StateEditor editor) {
    this.editor = editor;
  }

  CommandResult register(ServiceSpec spec) {
    boolean valid =
        spec.keyed()
            ? spec.hashSlots() >= 1 && spec.hashSlots() <= MAX_HASH_SLOTS
            : spec.hashSlots() == 0;
    if (!valid) {
      return rejected(
          ErrorKind.INVALID_VALUE,
          "hash slots of " + spec.name() + " must be 1 to " + MAX_HASH_SLOTS + ", 0 if unkeyed");
    }
    Optional<ServiceState> registered = editor.services().get(spec.name());
    if (registered.isEmpty()) {
      editor.put(
          new ServiceState(spec, SortedTable.empty(), SlotOwnershipTable.of(spec.hashSlots())));
      return accepted();
    }
    ServiceState service = registered.get();
    if (service.spec().hashSlots() != spec.hashSlots()) {
      return rejected(
          ErrorKind.INVALID_VALUE, "the hash slots of " + spec.name() + " cannot change");
    }
    editor.put(new ServiceState(spec, service.targets(), service.slots()));
    return accepted();
  }

  CommandResult assign(Command.AssignSlots command) {
    Optional<ServiceState> service = service(command.service(), command.slots());
    if (service.isEmpty() || !isActive(command.service(), command.owner())) {
      return rejected(ErrorKind.NOT_FOUND, "no such service, slots or active target");
    }
    SlotOwnershipTable table = service.get().slots();
    if (!allMatch(command.slots(), slot -> isAssignable(table, slot))) {
      return rejected(ErrorKind.CONFLICT, "a slot has an owner that is neither lost nor gone");
    }
    editor.assignOwner(service.get(), command.slots(), command.owner());
    return acceptedWithReason(command.service(), command.reason());
  }

  CommandResult begin(Command.BeginHandover command) {
    Optional<ServiceState> service = service(command.service(), command.slots());
    boolean ownerServes =
        editor
            .targets()
            .get(command.from())
            .filter(target -> target.status().mayOwnSlots())
            .isPresent();
    if (service.isEmpty() || !ownerServes || !isActive(command.service(), command.to())) {
      return rejected(ErrorKind.NOT_FOUND, "no such service, slots, owner or active receiver");
    }
    SlotOwnershipTable table = service.get().slots();
    boolean mayBegin =
        !command.from().equals(command.to())
            && allMatch(
                command.slots(),
                slot ->
                    command.from().equals(table.ownerOrNull(slot))
                        && table.handover(slot).isEmpty());
    if (!mayBegin) {
      return rejected(ErrorKind.CONFLICT, "a slot has another owner or is in handover");
    }
    Handover handover = new Handover(command.to(), editor.index(), command.forLoad());
    editor.put(service.get().with(table.withHandover(command.slots(), handover)));
    return acceptedWithReason(command.service(), command.reason());
  }

  CommandResult cancel(Command.CancelHandover command) {
    Optional<ServiceState> service =
        serviceWithHandover(command.service(), command.slots(), command.handoverIndex());
    if (service.isEmpty()) {
      return rejected(ErrorKind.CONFLICT, "no such handover");
    }
    SlotOwnershipTable changed = service.get().slots().withoutHandover(command.slots());
    editor.put(service.get().with(changed));
    return acceptedWithReason(command.service(), command.reason());
  }

  CommandResult complete(Command.CompleteHandover command) {
    Optional<ServiceState> service =
        serviceWithHandover(command.service(), command.slots(), command.handoverIndex());
    if (service.isEmpty() || !isActive(command.service(), command.to())) {
      return rejected(ErrorKind.CONFLICT, "no such handover or active receiver");
    }
    SlotOwnershipTable table = service.get().slots();
    boolean matches =
        allMatch(
            command.slots(),
            slot ->
                command.from().equals(table.ownerOrNull(slot))
                    && table
                        .handover(slot)
                        .filter(handover -> handover.to().equals(command.to()))
                        .isPresent());
    if (!matches) {
      return rejected(ErrorKind.CONFLICT, "a slot has another owner or receiver");
    }
    editor.assignOwner(service.get(), command.slots(), command.to());
    return acceptedWithReason(
        command.service(),
        "handed over by " + command.from() + ", begun at index " + command.handoverIndex());
  }

  private Optional<ServiceState> serviceWithHandover(
      ServiceName name, List<Integer> slots, long index) {
    return service(name, slots)
        .filter(
            service ->
                allMatch(
                    slots,
                    slot ->
                        service
                            .slots()
                            .handover(slot)
                            .filter(handover -> handover.index() == index)
                            .isPresent()));
  }

  private Optional<ServiceState> service(ServiceName name, List<Integer> slots) {
    return editor
        .services()
        .get(name)
        .filter(
            service -> !slots.isEmpty() && allMatch(slots, slot -> service.slots().contains(slot)));
  }

  private boolean isAssignable(SlotOwnershipTable table, int slot) {
    TargetId owner = table.ownerOrNull(slot);
    return owner == null
        || editor.targets().get(owner).filter(target -> target.status().mayOwnSlots()).isEmpty();
  }

  private boolean isActive(ServiceName service, TargetId target) {
    return editor
        .targets()
        .get(target)
        .filter(state -> state.status() == TargetStatus.ACTIVE)
        .filter(state -> state.spec().service().equals(service))
        .isPresent();
  }

  private static boolean allMatch(List<Integer> slots, IntPredicate predicate) {
    return slots.stream().mapToInt(Integer::intValue).allMatch(predicate);
  }

  private CommandResult acceptedWithReason(ServiceName service, String reason) {
    editor.explain(Explanations.slots(service), reason);
    return accepted();
  }

  private CommandResult accepted() {
    return new CommandResult.Accepted(editor.index());
  }
}
