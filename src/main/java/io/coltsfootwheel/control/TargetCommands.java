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

/** Announcements and statuses of targets. */
final class TargetCommands {
  /** Entries of gone targets kept to refuse their old incarnations; bounds the state. */
  private static final int GONE_KEPT = 4_096;

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
    Optional<TargetState> present = editor.targets().get(spec.id());
    if (present.isEmpty()) {
      editor.put(TargetState.of(spec, editor.index()));
      return explained(spec.id(), "announced");
    }
    if (!present.get().spec().service().equals(spec.service())) {
      return rejected(
          ErrorKind.INVALID_VALUE,
          spec.id() + " belongs to service " + present.get().spec().service());
    }
    return announceAgain(present.get(), spec);
  }

  private static boolean isIncomplete(TargetSpec spec) {
    return spec == null
        || Stream.of(spec.id(), spec.service(), spec.address(), spec.zone(), spec.incarnation())
            .anyMatch(Objects::isNull);
  }

  private CommandResult announceAgain(TargetState present, TargetSpec spec) {
    if (present.superseded().contains(spec.incarnation())) {
      return rejected(ErrorKind.INVALID_REQUEST, "a later incarnation replaced " + spec.id());
    }
    if (!present.spec().incarnation().equals(spec.incarnation())) {
      editor.put(present.withIncarnation(spec, editor.index()));
      return explained(spec.id(), "announced a new incarnation");
    }
    if (present.status() == TargetStatus.GONE) {
      return rejected(ErrorKind.INVALID_REQUEST, spec.id() + " is gone; restart its process");
    }
    if (present.status() == TargetStatus.LOST) {
      editor.put(present.withSpec(spec).recovered(editor.index()));
      return explained(spec.id(), "announced again while lost");
    }
    if (!present.spec().equals(spec)) {
      editor.put(present.withSpec(spec));
    }
    return accepted();
  }

  CommandResult change(Command.ChangeTargetStatus command) {
    Optional<TargetState> present =
        editor
            .targets()
            .get(command.target())
            .filter(t -> t.spec().incarnation().equals(command.incarnation()));
    if (present.isEmpty()) {
      return rejected(ErrorKind.NOT_FOUND, command.target() + " has no such incarnation");
    }
    TargetState target = present.get();
    if (command.expectedIndex() != 0 && command.expectedIndex() != target.changedIndex()) {
      return rejected(ErrorKind.CONFLICT, command.target() + " has changed meanwhile");
    }
    if (target.status() == command.status()) {
      return accepted();
    }
    if (!allowed(target, command)) {
      return rejected(
          ErrorKind.INVALID_REQUEST,
          command.target() + " cannot change from " + target.status() + " to " + command.status());
    }
    editor.put(
        command.status() == TargetStatus.ACTIVE
            ? target.recovered(editor.index())
            : target.withStatus(command.status(), editor.index()));
    dropOldestGone(command.status());
    return explained(command.target(), command.status() + ": " + command.reason());
  }

  private static boolean allowed(TargetState target, Command.ChangeTargetStatus command) {
    boolean observed = command.expectedIndex() != 0 && target.entry().grant().isPresent();
    boolean serving =
        target.status() == TargetStatus.ACTIVE || target.status() == TargetStatus.DRAINING;
    return switch (command.status()) {
      case LOST -> observed && serving;
      case ACTIVE -> observed && target.status() == TargetStatus.LOST;
      case DRAINING -> target.status() == TargetStatus.ACTIVE;
      case GONE -> true;
    };
  }

  CommandResult remove(TargetId id) {
    Optional<TargetState> present = editor.targets().get(id);
    if (present.isEmpty()) {
      return rejected(ErrorKind.NOT_FOUND, "target " + id + " is not known");
    }
    if (present.get().status() == TargetStatus.GONE) {
      return accepted();
    }
    if (!present.get().drainAsked() || ownsSlots(present.get())) {
      return rejected(ErrorKind.INVALID_REQUEST, id + " is not drained");
    }
    editor.put(present.get().withStatus(TargetStatus.GONE, editor.index()));
    dropOldestGone(TargetStatus.GONE);
    return explained(id, "GONE: removed after it was drained");
  }

  private void dropOldestGone(TargetStatus changedTo) {
    if (changedTo != TargetStatus.GONE) {
      return;
    }
    List<TargetState> gone =
        editor.targets().values().stream()
            .filter(t -> t.status() == TargetStatus.GONE)
            .sorted(Comparator.comparingLong(TargetState::changedIndex))
            .toList();
    gone.stream()
        .limit(Math.max(0, gone.size() - GONE_KEPT))
        .filter(t -> !ownsSlots(t))
        .forEach(editor::remove);
  }

  private boolean ownsSlots(TargetState target) {
    return editor
        .services()
        .get(target.spec().service())
        .filter(s -> s.slots().owns(target.spec().id()))
        .isPresent();
  }

  private CommandResult explained(TargetId target, String reason) {
    editor.explain(Explanations.target(target), reason);
    return accepted();
  }

  private CommandResult accepted() {
    return new CommandResult.Accepted(editor.index());
  }
}
