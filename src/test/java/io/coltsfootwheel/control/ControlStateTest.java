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

import io.coltsfootwheel.control.Fixtures.Log;
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
        refused("second session while the first lives", log -> register(0, "t")),
        refused("grant to an unregistered session", log -> grant(2, 0, "old")),
        refused("second grant of a target", log -> grant(0, 1, "s")),
        refused("revocation under another fence", log -> revoke(0, log.grantFence(0) - 1)),
        refused(
            "revocation after the target changed",
            log ->
                new Command.RevokeDispatch(
                    target(3), Fence.of(log.grantFence(3)), log.grantFence(3), "released")),
        refused("expiry of another session", log -> expire(0, "t", 2)),
        refused("expiry of an earlier registration", log -> expire(0, "s", 1)),
        refused("slot of an active owner", log -> assign(1, 0)),
        refused("slot to an unknown target", log -> assign(9, 3)),
        refused("slot outside the table", log -> assign(1, 8)),
        refused("no slot at all", log -> assign(1)),
        refused("handover by a target that is not the owner", log -> begin(1, 0, 0)),
        refused("handover to itself", log -> begin(0, 0, 0)),
        refused("second handover of a slot", log -> begin(0, 1, 2)),
        refused("completion of an earlier handover", log -> complete(log.index() - 1)),
        refused("cancellation of an earlier handover", log -> cancel(log.index() - 1)),
        refused("removal of a target that was not drained", log -> remove(2)),
        refused("removal of a target that owns slots", log -> remove(3)),
        refused(
            "LOST without the index that was observed",
            log ->
                new Command.ChangeTargetStatus(target(0), TargetStatus.LOST, "a", 0, "operator")),
        refused("status of another incarnation", log -> status(0, "b", log)),
        refused("recovery of a target that drains", log -> log.status(3, TargetStatus.ACTIVE)),
        refused(
            "lists without a change identity",
            log -> new Command.ApplyLists(" ", 0, Map.of(), Map.of())));
  }

  private static Arguments refused(String what, Function<Log, Command> command) {
    return Arguments.of(what, command);
  }

  /** Two instances, four targets; slots 0-2 at target 0 (2 in handover to 1), slot 4 at 3. */
  private static Log log() {
    Log log = cluster(2, 2, 8);
    log.apply(announce(2));
    log.apply(announce(3));
    log.apply(grant(3, 0, "s"));
    log.apply(assign(0, 0, 1, 2));
    log.apply(assign(3, 4));
    log.apply(log.status(3, TargetStatus.DRAINING));
    log.apply(begin(0, 1, 2));
    return log;
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("rejected")
  void rejectsInvalidAndOutdatedCommandsWithoutChange(String what, Function<Log, Command> command) {
    Log log = log();
    Content before = log.state().content();
    assertThat(log.apply(command.apply(log))).isInstanceOf(CommandResult.Rejected.class);
    assertThat(log.state().content())
        .usingRecursiveComparison()
        .ignoringFields("index")
        .isEqualTo(before);
  }

  @ParameterizedTest
  @EnumSource(TargetStatus.class)
  void assignsSlotsOfAnOwnerOnlyWhenItIsLostOrGone(TargetStatus status) {
    Log log = log();
    if (status != TargetStatus.ACTIVE) {
      log.apply(log.status(0, status));
    }
    CommandResult result = log.apply(assign(1, 0, 1, 2));
    boolean free = status == TargetStatus.LOST || status == TargetStatus.GONE;
    assertThat(result instanceof CommandResult.Accepted).isEqualTo(free);
    assertThat(log.table().handover(2).isPresent()).isEqualTo(!free);
  }

  @Test
  void doesNotExpireARegistrationThatFollowedTheExpiry() {
    Log log = cluster(2, 2, 8);
    Command expiry = expire(0, "s", 2);
    assertThat(log.apply(expiry)).isInstanceOf(CommandResult.Accepted.class);
    assertThat(log.state().target(target(0)).orElseThrow().grant()).isEmpty();
    log.apply(register(0, "s"));
    log.apply(grant(0, 0, "s"));
    assertThat(log.apply(expiry)).isInstanceOf(CommandResult.Rejected.class);
    assertThat(log.state().target(target(0)).orElseThrow().grant()).isPresent();
  }

  @Test
  void doesNotLoseATargetAgainByADelayedDuplicate() {
    Log log = log();
    Command lost = log.status(0, TargetStatus.LOST);
    log.apply(lost);
    log.apply(log.status(0, TargetStatus.ACTIVE));
    assertThat(log.apply(lost)).isInstanceOf(CommandResult.Rejected.class);
  }

  @Test
  void completesAHandoverWithAHigherFenceAndOnlyOnce() {
    Log log = log();
    Command complete = complete(log.index());
    log.apply(complete);
    assertThat(log.state().ownership(LEDGER, 2))
        .contains(new SlotOwnership(target(1), Fence.of(log.index()), Optional.empty()));
    assertThat(log.state().explainSlot(LEDGER, 2)).hasSize(1);
    assertThat(log.apply(complete)).isInstanceOf(CommandResult.Rejected.class);
  }

  @Test
  void keepsOnlySlotsThatWereNotAssignedMeanwhileWhenATargetComesBack() {
    Log log = log();
    log.apply(log.status(0, TargetStatus.LOST));
    log.apply(assign(1, 0));
    log.apply(announce(0));
    assertThat(log.state().target(target(0)).orElseThrow().status()).isEqualTo(TargetStatus.ACTIVE);
    assertThat(log.table().ownerOrNull(0)).isEqualTo(target(1));
    assertThat(log.table().ownerOrNull(1)).isEqualTo(target(0));
  }

  @Test
  void refusesGoneAndSupersededIncarnations() {
    Log log = log();
    log.apply(new Command.AnnounceTarget(targetSpec(0, 2, "b")));
    assertThat(log.apply(announce(0))).isInstanceOf(CommandResult.Rejected.class);
    log.apply(new Command.ChangeTargetStatus(target(0), TargetStatus.GONE, "b", 0, "operator"));
    Command same = new Command.AnnounceTarget(targetSpec(0, 2, "b"));
    assertThat(log.apply(same)).isInstanceOf(CommandResult.Rejected.class);
    Command next = new Command.AnnounceTarget(targetSpec(0, 2, "c"));
    assertThat(log.apply(next)).isInstanceOf(CommandResult.Accepted.class);
  }

  @Test
  void continuesToDrainAfterALoss() {
    Log log = log();
    log.apply(log.status(3, TargetStatus.LOST));
    log.apply(log.status(3, TargetStatus.ACTIVE));
    assertThat(log.state().target(target(3)).orElseThrow().status())
        .isEqualTo(TargetStatus.DRAINING);
  }

  @Test
  void stopsWhenTheLogIndexDoesNotRise() {
    ControlState state = log().state();
    assertThatThrownBy(() -> state.apply(state.appliedIndex(), new Command.AdvanceStamp()))
        .isInstanceOfSatisfying(
            ColtsfootwheelException.class,
            e -> assertThat(e.kind()).isEqualTo(ErrorKind.INVARIANT_VIOLATED));
  }

  static Stream<Command> commands() {
    Log log = log();
    return Stream.of(
        register(1, "x"),
        expire(0, "s", 2),
        Fixtures.service(8),
        announce(1),
        log.status(0, TargetStatus.LOST),
        remove(1),
        grant(0, 1, "s"),
        revoke(0, 7),
        assign(0, 1, 2),
        begin(0, 1, 2),
        cancel(7),
        complete(7),
        ListCommandsTest.lists("c-1", 0, 5),
        new Command.AdvanceStamp());
  }

  @ParameterizedTest
  @MethodSource("commands")
  void encodesEveryCommand(Command command) {
    byte[] bytes = ControlCodec.encode(command);
    assertThat(ControlCodec.decode(bytes, Command.class)).isEqualTo(command);
  }

  private static Command status(int n, String incarnation, Log log) {
    long expected = log.state().targetChangedIndex(target(n));
    return new Command.ChangeTargetStatus(
        target(n), TargetStatus.LOST, incarnation, expected, "test");
  }

  private static Command expire(int n, String session, long registeredIndex) {
    return new Command.ExpireSession(instance(n), session, registeredIndex, "test");
  }

  private static Command revoke(int n, long fence) {
    return new Command.RevokeDispatch(target(n), Fence.of(fence), 0, "test");
  }

  private static Command remove(int n) {
    return new Command.RemoveTarget(target(n));
  }

  private static Command begin(int from, int to, int slot) {
    return new Command.BeginHandover(
        LEDGER, List.of(slot), target(from), target(to), false, "test");
  }

  private static Command cancel(long index) {
    return new Command.CancelHandover(LEDGER, List.of(2), index, "test");
  }

  private static Command complete(long index) {
    return new Command.CompleteHandover(LEDGER, List.of(2), target(0), target(1), index);
  }
}
