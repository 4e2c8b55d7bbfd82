package io.coltsfootwheel.control;

import static io.coltsfootwheel.control.Fixtures.announce;
import static io.coltsfootwheel.control.Fixtures.cluster;
import static io.coltsfootwheel.control.Fixtures.instance;
import static io.coltsfootwheel.control.Fixtures.register;
import static io.coltsfootwheel.control.Fixtures.report;
import static io.coltsfootwheel.control.Fixtures.target;
import static io.coltsfootwheel.model.TargetCondition.HEALTHY;
import static io.coltsfootwheel.model.TargetCondition.RELEASED;
import static io.coltsfootwheel.model.TargetCondition.SUSPECT;
import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Fixtures.CommandLog;
import io.coltsfootwheel.control.SupervisorEffect.AllowRenewal;
import io.coltsfootwheel.control.SupervisorEffect.ProposeCommand;
import io.coltsfootwheel.control.SupervisorEffect.RefuseRenewal;
import io.coltsfootwheel.model.Renewal;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetReport;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class SupervisorTest {
  private final Supervisor supervisor = new Supervisor();
  private CommandLog log;
  private long nowMillis = 1_000;

  private List<SupervisorEffect> startLeading(CommandLog initialLog) {
    log = initialLog;
    return supervisor.apply(new SupervisorEvent.LeadershipGained(nowNanos(), log.state()));
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private List<SupervisorEffect> tickAfter(long millis) {
    nowMillis += millis;
    return supervisor.apply(new SupervisorEvent.Tick(nowNanos()));
  }

  private List<SupervisorEffect> applied() {
    return supervisor.apply(new SupervisorEvent.StateApplied(nowNanos(), log.state()));
  }

  private List<SupervisorEffect> renew(int number, boolean leaving, TargetReport... reports) {
    Renewal renewal =
        new Renewal(instance(number), "s", nowNanos(), log.index(), leaving, List.of(reports));
    return supervisor.apply(new SupervisorEvent.RenewalReceived(nowNanos(), renewal));
  }

  private List<SupervisorEffect> renewWithReports(TargetCondition condition, int... targets) {
    TargetReport[] reports =
        IntStream.of(targets)
            .mapToObj(number -> report(number, log.grantFence(number), condition))
            .toArray(TargetReport[]::new);
    return renew(0, false, reports);
  }

  private static <T extends Command> List<T> proposed(
      List<SupervisorEffect> effects, Class<T> type) {
    return effects.stream()
        .filter(ProposeCommand.class::isInstance)
        .map(effect -> ((ProposeCommand) effect).command())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  @ParameterizedTest
  @CsvSource({"423, 0", "424, 1"})
  void expiresASessionOnlyAfterTheLeaseWithClockDrift(int millisWithoutRenewal, int expected) {
    startLeading(cluster(2, 2, 8));
    nowMillis += 200;
    renew(0, false);
    nowMillis += millisWithoutRenewal;
    renew(1, false);
    assertThat(proposed(tickAfter(0), Command.ExpireSession.class)).hasSize(expected);
  }

  @ParameterizedTest
  @CsvSource({"423, 0", "424, 2"})
  void expiresNothingSoonerThanALeaseAfterTheElection(int millis, int expected) {
    startLeading(cluster(2, 2, 8));
    assertThat(proposed(tickAfter(millis), Command.ExpireSession.class)).hasSize(expected);
  }

  @Test
  void refusesRenewalsOnceTheExpiryWasProposed() {
    startLeading(cluster(2, 2, 8));
    tickAfter(424);
    assertThat(renew(0, false)).hasOnlyElementsOfType(RefuseRenewal.class);
    nowMillis += 5_000;
    applied();
    assertThat(renew(0, false)).hasOnlyElementsOfType(RefuseRenewal.class);
  }

  @Test
  void refusesUnknownSessionsAndRenewalsWithoutLeadership() {
    assertThat(supervisor.apply(renewalOf("s"))).hasOnlyElementsOfType(RefuseRenewal.class);
    startLeading(cluster(2, 2, 8));
    assertThat(supervisor.apply(renewalOf("old"))).hasOnlyElementsOfType(RefuseRenewal.class);
    assertThat(supervisor.apply(renewalOf("s"))).hasOnlyElementsOfType(AllowRenewal.class);
    supervisor.apply(new SupervisorEvent.LeadershipLost());
    assertThat(supervisor.apply(renewalOf("s"))).hasOnlyElementsOfType(RefuseRenewal.class);
  }

  private SupervisorEvent renewalOf(String session) {
    Renewal renewal = new Renewal(instance(0), session, nowNanos(), 0, false, List.of());
    return new SupervisorEvent.RenewalReceived(nowNanos(), renewal);
  }

  @Test
  void proposesAgainOnlyAfterTheTimeout() {
    startLeading(cluster(1, 1, 8));
    assertThat(proposed(tickAfter(424), Command.ExpireSession.class)).hasSize(1);
    assertThat(proposed(tickAfter(400), Command.ExpireSession.class)).isEmpty();
    assertThat(proposed(tickAfter(100), Command.ExpireSession.class)).hasSize(1);
  }

  @Test
  void grantsToTheInstanceWithFewestTargetsThenInTheSameZone() {
    CommandLog initialLog = cluster(3, 2, 8);
    initialLog.apply(announce(2));
    initialLog.apply(announce(3));
    startLeading(initialLog);
    IntStream.range(0, 3).forEach(number -> renew(number, false));
    List<Command.GrantDispatch> grants = proposed(tickAfter(10), Command.GrantDispatch.class);
    assertThat(grants)
        .extracting(Command.GrantDispatch::holder)
        .containsExactly(instance(2), instance(0));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void revokesGrantsThatALeavingInstanceNoLongerReports(boolean applied) {
    startLeading(cluster(1, 2, 8));
    long fence = log.grantFence(0);
    List<TargetReport> remainingReports = List.of(report(0, fence, HEALTHY));
    long index = applied ? log.index() : log.grantFence(1) - 1;
    Renewal renewal = new Renewal(instance(0), "s", nowNanos(), index, true, remainingReports);
    List<SupervisorEffect> effects =
        supervisor.apply(new SupervisorEvent.RenewalReceived(nowNanos(), renewal));
    assertThat(proposed(effects, Command.RevokeDispatch.class)).hasSize(applied ? 1 : 0);
  }

  @ParameterizedTest
  @EnumSource(TargetCondition.class)
  void proposesLostOnlyWhenTheDispatcherReleasedTheTarget(TargetCondition condition) {
    startLeading(cluster(1, 3, 8));
    assertThat(proposed(renewWithReports(condition, 0), Command.ChangeTargetStatus.class))
        .hasSize(condition == RELEASED ? 1 : 0);
  }

  @Test
  void ignoresAReleaseThatWasReportedBeforeTheLastChange() {
    startLeading(cluster(1, 3, 8));
    log.apply(log.status(0, TargetStatus.LOST));
    log.apply(log.status(0, TargetStatus.ACTIVE));
    applied();
    TargetReport report = report(0, log.grantFence(0), RELEASED);
    Renewal outdatedRenewal =
        new Renewal(instance(0), "s", nowNanos(), log.index() - 1, false, List.of(report));
    assertThat(supervisor.apply(new SupervisorEvent.RenewalReceived(nowNanos(), outdatedRenewal)))
        .hasOnlyElementsOfType(AllowRenewal.class);
  }

  @Test
  void proposesActiveWhenALostTargetAnswersAgain() {
    startLeading(cluster(1, 3, 8));
    log.apply(log.status(0, TargetStatus.LOST));
    applied();
    assertThat(proposed(renewWithReports(HEALTHY, 0), Command.ChangeTargetStatus.class))
        .extracting(Command.ChangeTargetStatus::status)
        .containsExactly(TargetStatus.ACTIVE);
  }

  @ParameterizedTest
  @CsvSource({"2, 1", "6, 2", "9, 3"})
  void limitsLossesToAThirdOfTheTargetsAndRevokesTheOtherGrants(int targets, int cap) {
    startLeading(cluster(1, targets, 8));
    List<SupervisorEffect> effects =
        renewWithReports(RELEASED, IntStream.range(0, targets).toArray());
    assertThat(proposed(effects, Command.ChangeTargetStatus.class)).hasSize(cap);
    assertThat(proposed(effects, Command.RevokeDispatch.class)).hasSize(targets - cap);
  }

  @Test
  void doesNotLimitLossesThatOccurOneByOne() {
    startLeading(cluster(1, 3, 8));
    for (int number = 0; number < 3; number++) {
      nowMillis += 5_000;
      List<SupervisorEffect> effects = renewWithReports(RELEASED, number);
      assertThat(proposed(effects, Command.ChangeTargetStatus.class)).hasSize(1);
      log.apply(proposed(effects, Command.ChangeTargetStatus.class).get(0));
      applied();
    }
  }

  @ParameterizedTest
  @EnumSource(TargetCondition.class)
  void assignsNoSlotsOfATargetThatIsNotLost(TargetCondition condition) {
    CommandLog initialLog = cluster(1, 3, 8);
    initialLog.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    startLeading(initialLog);
    renewWithReports(HEALTHY, 1, 2);
    renew(0, false, report(0, log.grantFence(0), condition));
    assertThat(proposed(tickAfter(10), Command.AssignSlots.class)).isEmpty();
  }

  @Test
  void completesAHandoverOnlyAfterAReleaseOfThatHandover() {
    CommandLog initialLog = cluster(1, 2, 8);
    initialLog.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    startLeading(initialLog);
    renewWithReports(HEALTHY, 0, 1);
    Command.BeginHandover begin = proposed(tickAfter(10), Command.BeginHandover.class).get(0);
    assertThat(begin.slots()).hasSize(4);
    long indexBeforeHandover = log.index();
    log.apply(begin);
    applied();
    TargetReport released = report(0, log.grantFence(0), HEALTHY, begin.slots());
    Renewal renewalBeforeHandover =
        new Renewal(instance(0), "s", nowNanos(), indexBeforeHandover, false, List.of(released));
    assertThat(
            supervisor.apply(
                new SupervisorEvent.RenewalReceived(nowNanos(), renewalBeforeHandover)))
        .hasOnlyElementsOfType(AllowRenewal.class);
    Command complete = proposed(renew(0, false, released), Command.CompleteHandover.class).get(0);
    assertThat(log.apply(complete)).isInstanceOf(CommandResult.Accepted.class);
  }

  @Test
  void cancelsAHandoverWhoseReceiverIsLost() {
    CommandLog initialLog = cluster(1, 2, 8);
    initialLog.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    startLeading(initialLog);
    renewWithReports(HEALTHY, 0, 1);
    log.apply(proposed(tickAfter(10), Command.BeginHandover.class).get(0));
    log.apply(log.status(1, TargetStatus.LOST));
    assertThat(proposed(applied(), Command.CancelHandover.class)).hasSize(1);
  }

  @Test
  void removesADrainedTargetOnlyWhenItOwnsNothingAndIsIdle() {
    CommandLog initialLog = cluster(1, 2, 8);
    initialLog.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    initialLog.apply(initialLog.status(1, TargetStatus.DRAINING));
    initialLog.apply(initialLog.status(0, TargetStatus.DRAINING));
    startLeading(initialLog);
    renewWithReports(HEALTHY, 0, 1);
    nowMillis += 1_000;
    List<SupervisorEffect> effects = new ArrayList<>(renewWithReports(HEALTHY, 0));
    assertThat(proposed(effects, Command.ChangeTargetStatus.class)).isEmpty();
    renewWithReports(SUSPECT, 1);
    assertThat(proposed(renewWithReports(HEALTHY, 1), Command.ChangeTargetStatus.class)).isEmpty();
    nowMillis += 1_000;
    assertThat(proposed(renewWithReports(HEALTHY, 1), Command.ChangeTargetStatus.class))
        .extracting(Command.ChangeTargetStatus::target)
        .containsExactly(target(1));
  }

  @Test
  void waitsBeforeItAssignsSlotsOfATargetDeclaredGone() {
    CommandLog initialLog = cluster(1, 2, 8);
    initialLog.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    startLeading(initialLog);
    renewWithReports(HEALTHY, 0, 1);
    log.apply(log.status(0, TargetStatus.GONE));
    assertThat(proposed(applied(), Command.AssignSlots.class)).isEmpty();
    nowMillis += 847;
    assertThat(proposed(renewAndTick(), Command.AssignSlots.class)).isEmpty();
    nowMillis += 1;
    assertThat(proposed(renewAndTick(), Command.AssignSlots.class)).hasSize(1);
  }

  private List<SupervisorEffect> renewAndTick() {
    renewWithReports(HEALTHY, 1);
    return tickAfter(0);
  }

  @Test
  void advancesTheStampEachMinute() {
    startLeading(CommandLog.of(register(0, "s")));
    assertThat(proposed(tickAfter(59_999), Command.AdvanceStamp.class)).isEmpty();
    assertThat(proposed(tickAfter(1), Command.AdvanceStamp.class)).hasSize(1);
    assertThat(proposed(tickAfter(59_999), Command.AdvanceStamp.class)).isEmpty();
  }
}
