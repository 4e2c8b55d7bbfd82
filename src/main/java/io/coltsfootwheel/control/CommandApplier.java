package io.coltsfootwheel.control;

import io.coltsfootwheel.model.ErrorKind;

/** Applies one command to the content of the control state by the handler of its kind. */
final class CommandApplier {
  private final StateEditor editor;
  private final InstanceCommands instances;
  private final TargetCommands targets;
  private final SlotCommands slots;
  private final ListCommands lists;

  CommandApplier(StateContent content, long index) {
    editor = new StateEditor(content, index);
    instances = new InstanceCommands(editor);
    targets = new TargetCommands(editor);
    slots = new SlotCommands(editor);
    lists = new ListCommands(editor);
  }

  StateContent content() {
    return editor.content();
  }

  CommandResult apply(Command command) {
    if (command instanceof Command.RegisterInstance register) {
      return instances.register(register);
    }
    if (command instanceof Command.ExpireSession expire) {
      return instances.expire(expire);
    }
    if (command instanceof Command.GrantDispatch grant) {
      return instances.grant(grant);
    }
    if (command instanceof Command.RevokeDispatch revoke) {
      return instances.revoke(revoke);
    }
    if (command instanceof Command.AnnounceTarget announce) {
      return targets.announce(announce.spec());
    }
    if (command instanceof Command.ChangeTargetStatus change) {
      return targets.changeStatus(change);
    }
    if (command instanceof Command.RemoveTarget remove) {
      return targets.remove(remove.target());
    }
    return applyToSlotsOrLists(command);
  }

  private CommandResult applyToSlotsOrLists(Command command) {
    if (command instanceof Command.RegisterService register) {
      return slots.register(register.spec());
    }
    if (command instanceof Command.AssignSlots assign) {
      return slots.assign(assign);
    }
    if (command instanceof Command.BeginHandover begin) {
      return slots.begin(begin);
    }
    if (command instanceof Command.CancelHandover cancel) {
      return slots.cancel(cancel);
    }
    if (command instanceof Command.CompleteHandover complete) {
      return slots.complete(complete);
    }
    if (command instanceof Command.ApplyLists apply) {
      return lists.apply(apply);
    }
    return new CommandResult.Accepted(editor.index());
  }

  static CommandResult rejected(ErrorKind kind, String detail) {
    return new CommandResult.Rejected(kind, detail);
  }
}
