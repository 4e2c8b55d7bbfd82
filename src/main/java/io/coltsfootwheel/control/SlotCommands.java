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

/** Services and the ownership of their hash slots. */
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
    Optional<ServiceState> present = editor.services().get(spec.name());
    if (present.isEmpty()) {
      editor.put(new ServiceState(spec, SortedTable.empty(), SlotTable.of(spec.hashSlots())));
      return accepted();
    }
    ServiceState service = present.get();
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
    SlotTable table = service.get().slots();
    if (!all(command.slots(), slot -> isFree(table, slot))) {
      return rejected(ErrorKind.CONFLICT, "a slot has an owner that is neither lost nor gone");
    }
    editor.own(service.get(), command.slots(), command.owner());
    return explained(command.service(), command.reason());
  }

  CommandResult begin(Command.BeginHandover command) {
    Optional<ServiceState> service = service(command.service(), command.slots());
    boolean serving =
        editor.targets().get(command.from()).filter(t -> t.status().mayOwnSlots()).isPresent();
    if (service.isEmpty() || !serving || !isActive(command.service(), command.to())) {
      return rejected(ErrorKind.NOT_FOUND, "no such service, slots, owner or active receiver");
    }
    SlotTable table = service.get().slots();
    boolean movable =
        !command.from().equals(command.to())
            && all(
                command.slots(),
                s -> command.from().equals(table.ownerOrNull(s)) && table.handover(s).isEmpty());
    if (!movable) {
      return rejected(ErrorKind.CONFLICT, "a slot has another owner or is in handover");
    }
    Handover handover = new Handover(command.to(), editor.index(), command.forLoad());
    editor.put(service.get().with(table.withHandover(command.slots(), handover)));
    return explained(command.service(), command.reason());
  }

  CommandResult cancel(Command.CancelHandover command) {
    Optional<ServiceState> service =
        inHandover(command.service(), command.slots(), command.handoverIndex());
    if (service.isEmpty()) {
      return rejected(ErrorKind.CONFLICT, "no such handover");
    }
    SlotTable changed = service.get().slots().withoutHandover(command.slots());
    editor.put(service.get().with(changed));
    return explained(command.service(), command.reason());
  }

  CommandResult complete(Command.CompleteHandover command) {
    Optional<ServiceState> service =
        inHandover(command.service(), command.slots(), command.handoverIndex());
    if (service.isEmpty() || !isActive(command.service(), command.to())) {
      return rejected(ErrorKind.CONFLICT, "no such handover or active receiver");
    }
    SlotTable table = service.get().slots();
    boolean matches =
        all(
            command.slots(),
            s ->
                command.from().equals(table.ownerOrNull(s))
                    && table.handover(s).filter(h -> h.to().equals(command.to())).isPresent());
    if (!matches) {
      return rejected(ErrorKind.CONFLICT, "a slot has another owner or receiver");
    }
    editor.own(service.get(), command.slots(), command.to());
    return explained(
        command.service(),
        "handed over by " + command.from() + ", begun at index " + command.handoverIndex());
  }

  private Optional<ServiceState> inHandover(ServiceName name, List<Integer> slots, long index) {
    return service(name, slots)
        .filter(
            s ->
                all(
                    slots,
                    slot -> s.slots().handover(slot).filter(h -> h.index() == index).isPresent()));
  }

  private Optional<ServiceState> service(ServiceName name, List<Integer> slots) {
    return editor
        .services()
        .get(name)
        .filter(s -> !slots.isEmpty() && all(slots, slot -> s.slots().has(slot)));
  }

  private boolean isFree(SlotTable table, int slot) {
    TargetId owner = table.ownerOrNull(slot);
    return owner == null
        || editor.targets().get(owner).filter(t -> t.status().mayOwnSlots()).isEmpty();
  }

  private boolean isActive(ServiceName service, TargetId target) {
    return editor
        .targets()
        .get(target)
        .filter(t -> t.status() == TargetStatus.ACTIVE)
        .filter(t -> t.spec().service().equals(service))
        .isPresent();
  }

  private static boolean all(List<Integer> slots, IntPredicate predicate) {
    return slots.stream().mapToInt(Integer::intValue).allMatch(predicate);
  }

  private CommandResult explained(ServiceName service, String reason) {
    editor.explain(Explanations.slots(service), reason);
    return accepted();
  }

  private CommandResult accepted() {
    return new CommandResult.Accepted(editor.index());
  }
}
