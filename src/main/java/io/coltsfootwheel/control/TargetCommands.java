package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.CommandApplier.rejected;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/** Applies commands that announce targets, change their status or remove them. */
final class TargetCommands {
  /**
   * Number of GONE targets that are kept, so that announcements of their old incarnations are
   * rejected. The limit bounds the size of the state.
   */
  private static final int MAX_GONE_TARGETS = 4_096;

  private final StateEditor editor;

  TargetCommands(StateEditor editor) {
    this.editor = editor;
  }

  CommandResult announce(TargetSpec spec) {
    if (isIncomplete(spec)) {
      return rejected(ErrorKind.INVALID_VALUE, "the announcement of a target lacks a field");
    }
    if (editor.services().get(spec.service()).isEmpty()) {
      return rejected(ErrorKind.UNKNOWN_SERVICE, "service " + spec.service() + " is not known");
    }
    if (spec.slots() < 1 || spec.connections() < 1) {
      return rejected(ErrorKind.INVALID_VALUE, "slots and connections must be at least 1");
    }
    Optional<TargetState> known = editor.targets().get(spec.id());
    if (known.isEmpty()) {
      editor.put(TargetState.of(spec, editor.index()));
      return acceptedWithReason(spec.id(), "announced");
    }
    if (!known.get().spec().service().equals(spec.service())) {
      return rejected(
          ErrorKind.INVALID_VALUE,
          spec.id() + " belongs to service " + known.get().spec().service());
    }
    return announceKnown(known.get(), spec);
  }

  private static boolean isIncomplete(TargetSpec spec) {
    return spec == null
        || Stream.of(spec.id(), spec.service(), spec.address(), spec.zone(), spec.incarnation())
            .anyMatch(Objects::isNull);
  }

  private CommandResult announceKnown(TargetState known, TargetSpec spec) {
    if (known.supersededIncarnations().contains(spec.incarnation())) {
      return rejected(ErrorKind.INVALID_REQUEST, "a later incarnation replaced " + spec.id());
    }
    if (!known.spec().incarnation().equals(spec.incarnation())) {
      editor.put(known.withIncarnation(spec, editor.index()));
      return acceptedWithReason(spec.id(), "announced a new incarnation");
    }
    if (known.status() == TargetStatus.GONE) {
      return rejected(ErrorKind.INVALID_REQUEST, spec.id() + " is gone; restart its process");
    }
    if (known.status() == TargetStatus.LOST) {
      editor.put(known.withSpec(spec).recovered(editor.index()));
      return acceptedWithReason(spec.id(), "announced again while lost");
    }
    if (!known.spec().equals(spec)) {
      editor.put(known.withSpec(spec));
    }
    return accepted();
  }

  CommandResult changeStatus(Command.ChangeTargetStatus command) {
    Optional<TargetState> known =
        editor
            .targets()
            .get(command.target())
            .filter(state -> state.spec().incarnation().equals(command.incarnation()));
    if (known.isEmpty()) {
      return rejected(ErrorKind.NOT_FOUND, command.target() + " has no such incarnation");
    }
    TargetState target = known.get();
    if (command.expectedIndex() != 0 && command.expectedIndex() != target.changedIndex()) {
      return rejected(ErrorKind.CONFLICT, command.target() + " has changed meanwhile");
    }
    if (target.status() == command.status()) {
      return accepted();
    }
    if (!isAllowed(target, command)) {
      return rejected(
          ErrorKind.INVALID_REQUEST,
          command.target() + " cannot change from " + target.status() + " to " + command.status());
    }
    editor.put(
        command.status() == TargetStatus.ACTIVE
            ? target.recovered(editor.index())
            : target.withStatus(command.status(), editor.index()));
    removeOldestGone(command.status());
    return acceptedWithReason(command.target(), command.status() + ": " + command.reason());
  }

  private static boolean isAllowed(TargetState target, Command.ChangeTargetStatus command) {
    boolean reliesOnReport = command.expectedIndex() != 0 && target.entry().grant().isPresent();
    boolean serving =
        target.status() == TargetStatus.ACTIVE || target.status() == TargetStatus.DRAINING;
    return switch (command.status()) {
      case LOST -> reliesOnReport && serving;
      case ACTIVE -> reliesOnReport && target.status() == TargetStatus.LOST;
      case DRAINING -> target.status() == TargetStatus.ACTIVE;
      case GONE -> true;
    };
  }

  CommandResult remove(TargetId id) {
    Optional<TargetState> known = editor.targets().get(id);
    if (known.isEmpty()) {
      return rejected(ErrorKind.NOT_FOUND, "target " + id + " is not known");
    }
    if (known.get().status() == TargetStatus.GONE) {
      return accepted();
    }
    if (!known.get().drainRequested() || ownsSlots(known.get())) {
      return rejected(ErrorKind.INVALID_REQUEST, id + " is not drained");
    }
    editor.put(known.get().withStatus(TargetStatus.GONE, editor.index()));
    removeOldestGone(TargetStatus.GONE);
    return acceptedWithReason(id, "GONE: removed after it was drained");
  }

  private void removeOldestGone(TargetStatus changedTo) {
    if (changedTo != TargetStatus.GONE) {
      return;
    }
    List<TargetState> goneTargets =
        editor.targets().values().stream()
            .filter(state -> state.status() == TargetStatus.GONE)
            .sorted(Comparator.comparingLong(TargetState::changedIndex))
            .toList();
    goneTargets.stream()
        .limit(Math.max(0, goneTargets.size() - MAX_GONE_TARGETS))
        .filter(state -> !ownsSlots(state))
        .forEach(editor::remove);
  }

  private boolean ownsSlots(TargetState target) {
    return editor
        .services()
        .get(target.spec().service())
        .filter(service -> service.slots().owns(target.spec().id()))
        .isPresent();
  }

  private CommandResult acceptedWithReason(TargetId target, String reason) {
    editor.explain(Explanations.target(target), reason);
    return accepted();
  }

  private CommandResult accepted() {
    return new CommandResult.Accepted(editor.index());
  }
}
