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

import io.coltsfootwheel.control.Fixtures.Log;
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
  private Log log;
  private long nowMillis = 1_000;

  private List<SupervisorEffect> lead(Log started) {
    log = started;
    return supervisor.apply(new SupervisorEvent.LeadershipGained(nanos(), log.state()));
  }

  private long nanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  private List<SupervisorEffect> tick(long millis) {
    nowMillis += millis;
    return supervisor.apply(new SupervisorEvent.Tick(nanos()));
  }

  private List<SupervisorEffect> applied() {
    return supervisor.apply(new SupervisorEvent.StateApplied(nanos(), log.state()));
  }

  private List<SupervisorEffect> renew(int n, boolean leaving, TargetReport... reports) {
    Renewal renewal =
        new Renewal(instance(n), "s", nanos(), log.index(), leaving, List.of(reports));
    return supervisor.apply(new SupervisorEvent.RenewalReceived(nanos(), renewal));
  }

  private List<SupervisorEffect> reports(TargetCondition condition, int... targets) {
    TargetReport[] reports =
        IntStream.of(targets)
            .mapToObj(n -> report(n, log.grantFence(n), condition))
            .toArray(TargetReport[]::new);
    return renew(0, false, reports);
  }

  private static <T extends Command> List<T> proposed(
      List<SupervisorEffect> effects, Class<T> type) {
    return effects.stream()
        .filter(ProposeCommand.class::isInstance)
        .map(e -> ((ProposeCommand) e).command())
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  @ParameterizedTest
  @CsvSource({"423, 0", "424, 1"})
  void expiresASessionOnlyAfterTheLeaseWithDrift(int silentMillis, int expected) {
    lead(cluster(2, 2, 8));
    nowMillis += 200;
    renew(0, false);
    nowMillis += silentMillis;
    renew(1, false);
    assertThat(proposed(tick(0), Command.ExpireSession.class)).hasSize(expected);
  }

  @ParameterizedTest
  @CsvSource({"423, 0", "424, 2"})
  void expiresNothingSoonerThanALeaseAfterTheElection(int millis, int expected) {
    lead(cluster(2, 2, 8));
    assertThat(proposed(tick(millis), Command.ExpireSession.class)).hasSize(expected);
  }

  @Test
  void allowsNoRenewalOnceItProposedTheExpiry() {
    lead(cluster(2, 2, 8));
    tick(424);
    assertThat(renew(0, false)).hasOnlyElementsOfType(RefuseRenewal.class);
    nowMillis += 5_000;
    applied();
    assertThat(renew(0, false)).hasOnlyElementsOfType(RefuseRenewal.class);
  }

  @Test
  void refusesUnknownSessionsAndRenewalsWithoutLeadership() {
    assertThat(supervisor.apply(renewalOf("s"))).hasOnlyElementsOfType(RefuseRenewal.class);
    lead(cluster(2, 2, 8));
    assertThat(supervisor.apply(renewalOf("old"))).hasOnlyElementsOfType(RefuseRenewal.class);
    assertThat(supervisor.apply(renewalOf("s"))).hasOnlyElementsOfType(AllowRenewal.class);
    supervisor.apply(new SupervisorEvent.LeadershipLost());
    assertThat(supervisor.apply(renewalOf("s"))).hasOnlyElementsOfType(RefuseRenewal.class);
  }

  private SupervisorEvent renewalOf(String session) {
    Renewal renewal = new Renewal(instance(0), session, nanos(), 0, false, List.of());
    return new SupervisorEvent.RenewalReceived(nanos(), renewal);
  }

  @Test
  void proposesAgainOnlyAfterTheTimeout() {
    lead(cluster(1, 1, 8));
    assertThat(proposed(tick(424), Command.ExpireSession.class)).hasSize(1);
    assertThat(proposed(tick(400), Command.ExpireSession.class)).isEmpty();
    assertThat(proposed(tick(100), Command.ExpireSession.class)).hasSize(1);
  }

  @Test
  void grantsToTheInstanceWithFewestTargetsThenInTheSameZone() {
    Log started = cluster(3, 2, 8);
    started.apply(announce(2));
    started.apply(announce(3));
    lead(started);
    IntStream.range(0, 3).forEach(n -> renew(n, false));
    List<Command.GrantDispatch> grants = proposed(tick(10), Command.GrantDispatch.class);
    assertThat(grants)
        .extracting(Command.GrantDispatch::holder)
        .containsExactly(instance(2), instance(0));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void endsGrantsThatALeavingInstanceNoLongerReports(boolean applied) {
    lead(cluster(1, 2, 8));
    long fence = log.grantFence(0);
    List<TargetReport> held = List.of(report(0, fence, HEALTHY));
    long index = applied ? log.index() : log.grantFence(1) - 1;
    Renewal renewal = new Renewal(instance(0), "s", nanos(), index, true, held);
    List<SupervisorEffect> effects =
        supervisor.apply(new SupervisorEvent.RenewalReceived(nanos(), renewal));
    assertThat(proposed(effects, Command.RevokeDispatch.class)).hasSize(applied ? 1 : 0);
  }

  @ParameterizedTest
  @EnumSource(TargetCondition.class)
  void losesATargetOnlyWhenItsDispatcherReleasedIt(TargetCondition condition) {
    lead(cluster(1, 3, 8));
    assertThat(proposed(reports(condition, 0), Command.ChangeTargetStatus.class))
        .hasSize(condition == RELEASED ? 1 : 0);
  }

  @Test
  void ignoresAReleaseThatWasReportedBeforeTheLastChange() {
    lead(cluster(1, 3, 8));
    log.apply(log.status(0, TargetStatus.LOST));
    log.apply(log.status(0, TargetStatus.ACTIVE));
    applied();
    TargetReport report = report(0, log.grantFence(0), RELEASED);
    Renewal late = new Renewal(instance(0), "s", nanos(), log.index() - 1, false, List.of(report));
    assertThat(supervisor.apply(new SupervisorEvent.RenewalReceived(nanos(), late)))
        .hasOnlyElementsOfType(AllowRenewal.class);
  }

  @Test
  void bringsALostTargetBackWhenItAnswers() {
    lead(cluster(1, 3, 8));
    log.apply(log.status(0, TargetStatus.LOST));
    applied();
    assertThat(proposed(reports(HEALTHY, 0), Command.ChangeTargetStatus.class))
        .extracting(Command.ChangeTargetStatus::status)
        .containsExactly(TargetStatus.ACTIVE);
  }

  @ParameterizedTest
  @CsvSource({"2, 1", "6, 2", "9, 3"})
  void losesAtMostAThirdAtOnceAndGivesTheOthersAnotherDispatcher(int targets, int cap) {
    lead(cluster(1, targets, 8));
    List<SupervisorEffect> effects = reports(RELEASED, IntStream.range(0, targets).toArray());
    assertThat(proposed(effects, Command.ChangeTargetStatus.class)).hasSize(cap);
    assertThat(proposed(effects, Command.RevokeDispatch.class)).hasSize(targets - cap);
  }

  @Test
  void losesTargetsOneByOneWithoutLimit() {
    lead(cluster(1, 3, 8));
    for (int n = 0; n < 3; n++) {
      nowMillis += 5_000;
      List<SupervisorEffect> effects = reports(RELEASED, n);
      assertThat(proposed(effects, Command.ChangeTargetStatus.class)).hasSize(1);
      log.apply(proposed(effects, Command.ChangeTargetStatus.class).get(0));
      applied();
    }
  }

  @ParameterizedTest
  @EnumSource(TargetCondition.class)
  void assignsNoSlotsOfATargetThatIsNotLost(TargetCondition condition) {
    Log started = cluster(1, 3, 8);
    started.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    lead(started);
    reports(HEALTHY, 1, 2);
    renew(0, false, report(0, log.grantFence(0), condition));
    assertThat(proposed(tick(10), Command.AssignSlots.class)).isEmpty();
  }

  @Test
  void movesSlotsThroughAReleaseOfTheHandoverItself() {
    Log started = cluster(1, 2, 8);
    started.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    lead(started);
    reports(HEALTHY, 0, 1);
    Command.BeginHandover begin = proposed(tick(10), Command.BeginHandover.class).get(0);
    assertThat(begin.slots()).hasSize(4);
    long before = log.index();
    log.apply(begin);
    applied();
    TargetReport released = report(0, log.grantFence(0), HEALTHY, begin.slots());
    Renewal early = new Renewal(instance(0), "s", nanos(), before, false, List.of(released));
    assertThat(supervisor.apply(new SupervisorEvent.RenewalReceived(nanos(), early)))
        .hasOnlyElementsOfType(AllowRenewal.class);
    Command complete = proposed(renew(0, false, released), Command.CompleteHandover.class).get(0);
    assertThat(log.apply(complete)).isInstanceOf(CommandResult.Accepted.class);
  }

  @Test
  void cancelsAHandoverWhoseReceiverIsLost() {
    Log started = cluster(1, 2, 8);
    started.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    lead(started);
    reports(HEALTHY, 0, 1);
    log.apply(proposed(tick(10), Command.BeginHandover.class).get(0));
    log.apply(log.status(1, TargetStatus.LOST));
    assertThat(proposed(applied(), Command.CancelHandover.class)).hasSize(1);
  }

  @Test
  void removesADrainedTargetOnlyWhenItOwnsNothingAndIsIdle() {
    Log started = cluster(1, 2, 8);
    started.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    started.apply(started.status(1, TargetStatus.DRAINING));
    started.apply(started.status(0, TargetStatus.DRAINING));
    lead(started);
    reports(HEALTHY, 0, 1);
    nowMillis += 1_000;
    List<SupervisorEffect> effects = new ArrayList<>(reports(HEALTHY, 0));
    assertThat(proposed(effects, Command.ChangeTargetStatus.class)).isEmpty();
    reports(SUSPECT, 1);
    assertThat(proposed(reports(HEALTHY, 1), Command.ChangeTargetStatus.class)).isEmpty();
    nowMillis += 1_000;
    assertThat(proposed(reports(HEALTHY, 1), Command.ChangeTargetStatus.class))
        .extracting(Command.ChangeTargetStatus::target)
        .containsExactly(target(1));
  }

  @Test
  void waitsBeforeItAssignsSlotsOfATargetDeclaredGone() {
    Log started = cluster(1, 2, 8);
    started.apply(Fixtures.assign(0, 0, 1, 2, 3, 4, 5, 6, 7));
    lead(started);
    reports(HEALTHY, 0, 1);
    log.apply(log.status(0, TargetStatus.GONE));
    assertThat(proposed(applied(), Command.AssignSlots.class)).isEmpty();
    nowMillis += 847;
    assertThat(proposed(reportsAndTick(), Command.AssignSlots.class)).isEmpty();
    nowMillis += 1;
    assertThat(proposed(reportsAndTick(), Command.AssignSlots.class)).hasSize(1);
  }

  private List<SupervisorEffect> reportsAndTick() {
    reports(HEALTHY, 1);
    return tick(0);
  }

  @Test
  void advancesTheStampEachMinute() {
    lead(Log.of(register(0, "s")));
    assertThat(proposed(tick(59_999), Command.AdvanceStamp.class)).isEmpty();
    assertThat(proposed(tick(1), Command.AdvanceStamp.class)).hasSize(1);
    assertThat(proposed(tick(59_999), Command.AdvanceStamp.class)).isEmpty();
  }
}
