package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.CommandApplier.rejected;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Optional;

/**
 * Applies commands that register instances, expire their sessions, and grant or revoke dispatch.
 */
final class InstanceCommands {
  private final StateEditor editor;

  InstanceCommands(StateEditor editor) {
    this.editor = editor;
  }

  CommandResult register(Command.RegisterInstance command) {
    InstanceSpec spec = command.spec();
    if (spec == null || spec.id() == null || spec.zone() == null || spec.session() == null) {
      return rejected(ErrorKind.INVALID_VALUE, "the registration of an instance lacks a field");
    }
    Optional<InstanceState> registered = editor.instances().get(spec.id());
    if (registered.isPresent() && !registered.get().spec().session().equals(spec.session())) {
      return rejected(
          ErrorKind.CONFLICT, "another session of " + spec.id() + " has not expired yet");
    }
    long registeredIndex = registered.map(InstanceState::registeredIndex).orElse(editor.index());
    editor.put(spec, registeredIndex);
    if (registered.isEmpty()) {
      editor.explain(Explanations.instance(spec.id()), "registered");
    }
    return accepted();
  }

  CommandResult expire(Command.ExpireSession command) {
    Optional<InstanceState> registered =
        editor
            .instances()
            .get(command.instance())
            .filter(state -> state.spec().session().equals(command.session()))
            .filter(state -> state.registeredIndex() == command.registeredIndex());
    if (registered.isEmpty()) {
      return rejected(ErrorKind.NOT_FOUND, "no such session of " + command.instance());
    }
    for (TargetState target : editor.targets().values()) {
      Optional<DispatchGrant> grant = target.entry().grant();
      boolean isHolder = grant.isPresent() && grant.get().holder().equals(command.instance());
      if (isHolder) {
        editor.put(target.withGrant(Optional.empty(), editor.index()));
        explain(target.spec().id(), command.reason());
      }
    }
    editor.remove(command.instance());
    editor.explain(Explanations.instance(command.instance()), command.reason());
    return accepted();
  }

  CommandResult grant(Command.GrantDispatch command) {
    Optional<TargetState> target = editor.targets().get(command.target());
    if (target.isEmpty() || target.get().status() == TargetStatus.GONE) {
      return rejected(ErrorKind.NOT_FOUND, "target " + command.target() + " is not known or gone");
    }
    if (target.get().entry().grant().isPresent()) {
      return rejected(ErrorKind.CONFLICT, "target " + command.target() + " has a dispatcher");
    }
    boolean registered =
        editor
            .instances()
            .get(command.holder())
            .filter(state -> state.spec().session().equals(command.session()))
            .isPresent();
    if (!registered) {
      return rejected(ErrorKind.NO_LEASE, "session of " + command.holder() + " is not registered");
    }
    editor.grant(target.get(), command.holder(), command.session());
    explain(command.target(), command.reason());
    return accepted();
  }

  CommandResult revoke(Command.RevokeDispatch command) {
    Optional<TargetState> target =
        editor
            .targets()
            .get(command.target())
            .filter(
                state ->
                    state
                        .entry()
                        .grant()
                        .filter(held -> held.fence().equals(command.fence()))
                        .isPresent())
            .filter(
                state ->
                    command.expectedIndex() == 0
                        || command.expectedIndex() == state.changedIndex());
    if (target.isEmpty()) {
      return rejected(
          ErrorKind.STALE_FENCE, command.target() + " has no grant with fence " + command.fence());
    }
    editor.put(target.get().withGrant(Optional.empty(), editor.index()));
    explain(command.target(), command.reason());
    return accepted();
  }

  private void explain(TargetId target, String reason) {
    editor.explain(Explanations.target(target), reason);
  }

  private CommandResult accepted() {
    return new CommandResult.Accepted(editor.index());
  }
}
