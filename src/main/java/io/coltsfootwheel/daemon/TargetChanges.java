package io.coltsfootwheel.daemon;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.TargetEntry;
import io.coltsfootwheel.edge.TargetAnnouncements;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.coltsfootwheel.model.TargetStatus;
import java.util.Optional;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/** Proposes commands for the announcements, drains and removals that targets request. */
final class TargetChanges implements TargetAnnouncements {
  private final PendingAnswers answers;
  private final Supplier<ControlState> state;

  TargetChanges(PendingAnswers answers, Supplier<ControlState> state) {
    this.answers = answers;
    this.state = state;
  }

  /**
   * Returns the command that changes the status of a target.
   *
   * @param state the control state
   * @param id the target
   * @param status the new status
   * @param reason reason that explanations show
   * @return the command
   * @throws ColtsfootwheelException with {@link ErrorKind#NOT_FOUND} for an unknown target
   */
  static Command statusChange(ControlState state, TargetId id, TargetStatus status, String reason) {
    TargetEntry entry =
        state
            .target(id)
            .orElseThrow(
                () ->
                    ColtsfootwheelException.of(
                        ErrorKind.NOT_FOUND, "target " + id + " is not known"));
    return new Command.ChangeTargetStatus(
        id, status, entry.spec().incarnation(), state.targetChangedIndex(id), reason);
  }

  @Override
  public Mono<Void> announce(TargetSpec spec) {
    Optional<TargetEntry> registered = state.get().target(spec.id());
    boolean isUnchanged =
        registered
            .filter(entry -> entry.spec().equals(spec))
            .filter(entry -> entry.status().mayOwnSlots())
            .isPresent();
    return isUnchanged ? Mono.empty() : propose(new Command.AnnounceTarget(spec));
  }

  @Override
  public Mono<Void> drain(TargetId target) {
    return Mono.defer(
        () ->
            propose(
                statusChange(
                    state.get(), target, TargetStatus.DRAINING, "the target asked to drain")));
  }

  @Override
  public Mono<Void> remove(TargetId target) {
    return propose(new Command.RemoveTarget(target));
  }

  private Mono<Void> propose(Command command) {
    return answers.propose(command).flatMap(TargetChanges::requireAccepted);
  }

  private static Mono<Void> requireAccepted(CommandResult result) {
    if (result instanceof CommandResult.Rejected rejected) {
      return Mono.error(ColtsfootwheelException.of(rejected.kind(), rejected.detail()));
    }
    return Mono.empty();
  }
}
