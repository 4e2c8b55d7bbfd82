package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.LEDGER;
import static io.coltsfootwheel.control.Fixtures.announce;
import static io.coltsfootwheel.control.Fixtures.assign;
import static io.coltsfootwheel.control.Fixtures.cluster;
import static io.coltsfootwheel.control.Fixtures.grant;
import static io.coltsfootwheel.control.Fixtures.instance;
import static io.coltsfootwheel.control.Fixtures.register;
import static io.coltsfootwheel.control.Fixtures.target;
import static io.coltsfootwheel.control.Fixtures.targetSpec;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.coltsfootwheel.control.Fixtures.CommandLog;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ControlStateTest {
  static Stream<Arguments> rejected() {
    return Stream.of(
        rejectedCommand("second session before the first has expired", log -> register(0, "t")),
        rejectedCommand("grant to an unregistered session", log -> grant(2, 0, "old")),
        rejectedCommand("second grant of a target", log -> grant(0, 1, "s")),
        rejectedCommand(
            "revocation under another fence", log -> revokeDispatch(0, log.grantFence(0) - 1)),
        rejectedCommand(
            "revocation after the target changed",
            log ->
                new Command.RevokeDispatch(
                    target(3), Fence.of(log.grantFence(3)), log.grantFence(3), "released")),
        rejectedCommand("expiry of another session", log -> expireSession(0, "t", 2)),
        rejectedCommand("expiry of an earlier registration", log -> expireSession(0, "s", 1)),
        rejectedCommand("slot of an active owner", log -> assign(1, 0)),
        rejectedCommand("slot to an unknown target", log -> assign(9, 3)),
        rejectedCommand("slot outside the table", log -> assign(1, 8)),
        rejectedCommand("no slot at all", log -> assign(1)),
        rejectedCommand(
            "handover by a target that is not the owner", log -> beginHandover(1, 0, 0)),
        rejectedCommand("handover to itself", log -> beginHandover(0, 0, 0)),
        rejectedCommand("second handover of a slot", log -> beginHandover(0, 1, 2)),
        rejectedCommand(
            "completion of an earlier handover", log -> completeHandover(log.index() - 1)),
        rejectedCommand(
            "cancellation of an earlier handover", log -> cancelHandover(log.index() - 1)),
        rejectedCommand("removal of a target that was not drained", log -> removeTarget(2)),
        rejectedCommand("removal of a target that owns slots", log -> removeTarget(3)),
        rejectedCommand(
            "LOST without an expected index",
            log ->
                new Command.ChangeTargetStatus(target(0), TargetStatus.LOST, "a", 0, "operator")),
        rejectedCommand("status of another incarnation", log -> markLost(0, "b", log)),
        rejectedCommand(
            "recovery of a target that drains", log -> log.status(3, TargetStatus.ACTIVE)),
        rejectedCommand(
            "lists without a change identity",
            log -> new Command.ApplyLists(" ", 0, Map.of(), Map.of())));
  }

  private static Arguments rejectedCommand(
      String description, Function<CommandLog, Command> command) {
    return Arguments.of(description, command);
  }

  /**
   * Returns a log of two instances and four targets. Target 0 owns slots 0 to 2, of which slot 2 is
   * in handover to target 1; target 3 drains and owns slot 4.
   */
  private static CommandLog log() {
    CommandLog log = cluster(2, 2, 8);
    log.apply(announce(2));
    log.apply(announce(3));
    log.apply(grant(3, 0, "s"));
    log.apply(assign(0, 0, 1, 2));
    log.apply(assign(3, 4));
    log.apply(log.status(3, TargetStatus.DRAINING));
    log.apply(beginHandover(0, 1, 2));
    return log;
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("rejected")
  void rejectsInvalidAndOutdatedCommandsWithoutChange(
      String description, Function<CommandLog, Command> command) {
    CommandLog log = log();
    StateContent previous = log.state().content();
    assertThat(log.apply(command.apply(log))).isInstanceOf(CommandResult.Rejected.class);
    assertThat(log.state().content())
        .usingRecursiveComparison()
        .ignoringFields("index")
        .isEqualTo(previous);
  }

  @ParameterizedTest
  @EnumSource(TargetStatus.class)
  void assignsSlotsOfAnOwnerOnlyWhenItIsLostOrGone(TargetStatus status) {
    CommandLog log = log();
    if (status != TargetStatus.ACTIVE) {
      log.apply(log.status(0, status));
    }
    CommandResult result = log.apply(assign(1, 0, 1, 2));
    boolean assignable = status == TargetStatus.LOST || status == TargetStatus.GONE;
    assertThat(result instanceof CommandResult.Accepted).isEqualTo(assignable);
    assertThat(log.table().handover(2).isPresent()).isEqualTo(!assignable);
  }

  @Test
  void doesNotExpireARegistrationThatFollowedTheExpiry() {
    CommandLog log = cluster(2, 2, 8);
    Command expiry = expireSession(0, "s", 2);
    assertThat(log.apply(expiry)).isInstanceOf(CommandResult.Accepted.class);
    assertThat(log.state().target(target(0)).orElseThrow().grant()).isEmpty();
    log.apply(register(0, "s"));
    log.apply(grant(0, 0, "s"));
    assertThat(log.apply(expiry)).isInstanceOf(CommandResult.Rejected.class);
    assertThat(log.state().target(target(0)).orElseThrow().grant()).isPresent();
  }

  @Test
  void doesNotMarkATargetLostAgainByADelayedDuplicate() {
    CommandLog log = log();
    Command lost = log.status(0, TargetStatus.LOST);
    log.apply(lost);
    log.apply(log.status(0, TargetStatus.ACTIVE));
    assertThat(log.apply(lost)).isInstanceOf(CommandResult.Rejected.class);
  }

  @Test
  void completesAHandoverOnceWithAHigherFence() {
    CommandLog log = log();
    Command completion = completeHandover(log.index());
    log.apply(completion);
    assertThat(log.state().ownership(LEDGER, 2))
        .contains(new SlotOwnership(target(1), Fence.of(log.index()), Optional.empty()));
    assertThat(log.state().explainSlot(LEDGER, 2)).hasSize(1);
    assertThat(log.apply(completion)).isInstanceOf(CommandResult.Rejected.class);
  }

  @Test
  void keepsOnlyTheSlotsNotReassignedWhenALostTargetRecovers() {
    CommandLog log = log();
    log.apply(log.status(0, TargetStatus.LOST));
    log.apply(assign(1, 0));
    log.apply(announce(0));
    assertThat(log.state().target(target(0)).orElseThrow().status()).isEqualTo(TargetStatus.ACTIVE);
    assertThat(log.table().ownerOrNull(0)).isEqualTo(target(1));
    assertThat(log.table().ownerOrNull(1)).isEqualTo(target(0));
  }

  @Test
  void rejectsGoneAndSupersededIncarnations() {
    CommandLog log = log();
    log.apply(new Command.AnnounceTarget(targetSpec(0, 2, "b")));
    assertThat(log.apply(announce(0))).isInstanceOf(CommandResult.Rejected.class);
    log.apply(new Command.ChangeTargetStatus(target(0), TargetStatus.GONE, "b", 0, "operator"));
    Command sameIncarnation = new Command.AnnounceTarget(targetSpec(0, 2, "b"));
    assertThat(log.apply(sameIncarnation)).isInstanceOf(CommandResult.Rejected.class);
    Command newIncarnation = new Command.AnnounceTarget(targetSpec(0, 2, "c"));
    assertThat(log.apply(newIncarnation)).isInstanceOf(CommandResult.Accepted.class);
  }

  @Test
  void continuesToDrainAfterRecoveryFromLost() {
    CommandLog log = log();
    log.apply(log.status(3, TargetStatus.LOST));
    log.apply(log.status(3, TargetStatus.ACTIVE));
    assertThat(log.state().target(target(3)).orElseThrow().status())
        .isEqualTo(TargetStatus.DRAINING);
  }

  @Test
  void failsWhenTheLogIndexDoesNotIncrease() {
    ControlState state = log().state();
    assertThatThrownBy(() -> state.apply(state.appliedIndex(), new Command.AdvanceStamp()))
        .isInstanceOfSatisfying(
            ColtsfootwheelException.class,
            exception -> assertThat(exception.kind()).isEqualTo(ErrorKind.INVARIANT_VIOLATED));
  }

  static Stream<Command> commands() {
    CommandLog log = log();
    return Stream.of(
        register(1, "x"),
        expireSession(0, "s", 2),
        Fixtures.service(8),
        announce(1),
        log.status(0, TargetStatus.LOST),
        removeTarget(1),
        grant(0, 1, "s"),
        revokeDispatch(0, 7),
        assign(0, 1, 2),
        beginHandover(0, 1, 2),
        cancelHandover(7),
        completeHandover(7),
        ListCommandsTest.lists("c-1", 0, 5),
        new Command.AdvanceStamp());
  }

  @ParameterizedTest
  @MethodSource("commands")
  void encodesEveryCommand(Command command) {
    byte[] bytes = ControlCodec.encode(command);
    assertThat(ControlCodec.decode(bytes, Command.class)).isEqualTo(command);
  }

  private static Command markLost(int number, String incarnation, CommandLog log) {
    long expected = log.state().targetChangedIndex(target(number));
    return new Command.ChangeTargetStatus(
        target(number), TargetStatus.LOST, incarnation, expected, "test");
  }

  private static Command expireSession(int number, String session, long registeredIndex) {
    return new Command.ExpireSession(instance(number), session, registeredIndex, "test");
  }

  private static Command revokeDispatch(int number, long fence) {
    return new Command.RevokeDispatch(target(number), Fence.of(fence), 0, "test");
  }

  private static Command removeTarget(int number) {
    return new Command.RemoveTarget(target(number));
  }

  private static Command beginHandover(int from, int to, int slot) {
    return new Command.BeginHandover(
        LEDGER, List.of(slot), target(from), target(to), false, "test");
  }

  private static Command cancelHandover(long index) {
    return new Command.CancelHandover(LEDGER, List.of(2), index, "test");
  }

  private static Command completeHandover(long index) {
    return new Command.CompleteHandover(LEDGER, List.of(2), target(0), target(1), index);
  }
}
