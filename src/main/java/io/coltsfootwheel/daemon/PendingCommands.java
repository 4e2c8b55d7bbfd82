package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Commands that this instance has proposed to the control leader and that have no result yet.
 *
 * <p>A command is sent again until its result arrives or it times out. That is safe because every
 * command is idempotent: its preconditions or its change identity make a second application
 * harmless.
 */
final class PendingCommands {
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final TreeMap<Long, PendingCommand> pendingById = new TreeMap<>();

  private record PendingCommand(Command command, long deadlineNanos, long resendNanos) {}

  /**
   * Adds a command, which the next call of {@link #advance} sends.
   *
   * @param nowNanos monotonic time
   * @param proposalId number of the proposal
   * @param command the command
   */
  void add(long nowNanos, long proposalId, Command command) {
    pendingById.put(proposalId, new PendingCommand(command, nowNanos + TIMEOUT_NANOS, nowNanos));
  }

  /**
   * Removes a pending proposal and returns the effect that completes it.
   *
   * @param proposalId number of the proposal
   * @param result the result
   * @return the effect, or empty when the proposal is not pending
   */
  Optional<InstanceEffect> complete(long proposalId, CommandResult result) {
    return Optional.ofNullable(pendingById.remove(proposalId))
        .map(pending -> new InstanceEffect.AnswerProposal(proposalId, Optional.of(result)));
  }

  /**
   * Sends the commands that are due and ends those that have timed out, whose outcome is then
   * unknown.
   *
   * @param nowNanos monotonic time
   * @param sendEffects returns the effects that send one proposal
   * @return the effects
   */
  List<InstanceEffect> advance(
      long nowNanos, Function<ControlMessage.Propose, List<InstanceEffect>> sendEffects) {
    List<InstanceEffect> effects = new ArrayList<>();
    List<Long> dueIds = new ArrayList<>();
    Iterator<Map.Entry<Long, PendingCommand>> entries = pendingById.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, PendingCommand> entry = entries.next();
      if (nowNanos - entry.getValue().deadlineNanos() >= 0) {
        effects.add(new InstanceEffect.AnswerProposal(entry.getKey(), Optional.empty()));
        entries.remove();
      } else if (nowNanos - entry.getValue().resendNanos() >= 0) {
        dueIds.add(entry.getKey());
      }
    }
    for (long id : dueIds) {
      PendingCommand pending = pendingById.get(id);
      pendingById.put(
          id,
          new PendingCommand(pending.command(), pending.deadlineNanos(), nowNanos + RESEND_NANOS));
      effects.addAll(sendEffects.apply(new ControlMessage.Propose(id, pending.command())));
    }
    return effects;
  }
}
