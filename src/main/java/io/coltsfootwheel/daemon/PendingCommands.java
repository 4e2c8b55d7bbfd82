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
 * Commands that this instance has asked the control leader to commit.
 *
 * <p>A command is sent again until it is answered, since every command is idempotent: its
 * preconditions or its change identity make a second application harmless.
 */
final class PendingCommands {
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final TreeMap<Long, Pending> pendingById = new TreeMap<>();

  private record Pending(Command command, long deadlineNanos, long resendNanos) {}

  /**
   * Adds a command.
   *
   * @param nowNanos monotonic time
   * @param proposalId number of the proposal
   * @param command the command
   */
  void add(long nowNanos, long proposalId, Command command) {
    pendingById.put(proposalId, new Pending(command, nowNanos + TIMEOUT_NANOS, nowNanos));
  }

  /**
   * Returns the answer to a pending proposal and forgets it.
   *
   * @param proposalId number of the proposal
   * @param result the result
   * @return the effect that answers it, or empty when it is not pending
   */
  Optional<InstanceEffect> answered(long proposalId, CommandResult result) {
    return Optional.ofNullable(pendingById.remove(proposalId))
        .map(p -> new InstanceEffect.AnswerProposal(proposalId, Optional.of(result)));
  }

  /**
   * Sends what is due and ends what has timed out.
   *
   * @param nowNanos monotonic time
   * @param send makes the effects that send one proposal
   * @return the effects
   */
  List<InstanceEffect> due(
      long nowNanos, Function<ControlMessage.Propose, List<InstanceEffect>> send) {
    List<InstanceEffect> effects = new ArrayList<>();
    List<Long> resend = new ArrayList<>();
    Iterator<Map.Entry<Long, Pending>> entries = pendingById.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Long, Pending> entry = entries.next();
      if (nowNanos - entry.getValue().deadlineNanos() >= 0) {
        effects.add(new InstanceEffect.AnswerProposal(entry.getKey(), Optional.empty()));
        entries.remove();
      } else if (nowNanos - entry.getValue().resendNanos() >= 0) {
        resend.add(entry.getKey());
      }
    }
    for (long id : resend) {
      Pending pending = pendingById.get(id);
      pendingById.put(
          id, new Pending(pending.command(), pending.deadlineNanos(), nowNanos + RESEND_NANOS));
      effects.addAll(send.apply(new ControlMessage.Propose(id, pending.command())));
    }
    return effects;
  }
}
