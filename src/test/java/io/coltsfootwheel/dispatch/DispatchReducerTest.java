package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetCondition;
import io.coltsfootwheel.model.TargetStatus;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests sent in violation of a lease, fence, slot or identity rule, and against
 * reports that release a target or hash slot too early.
 */
class DispatchReducerTest {
  private static final InstanceId OTHER_INSTANCE = InstanceId.of("entry-2");
  private static final TargetReply COMPLETED = new TargetReply.Completed(200);

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sendsNothingBeforeTheFirstAnswer(boolean checksFences) {
    DispatchFixture fixture = new DispatchFixture(checksFences);
    fixture.offer("a", 0, 5_000);
    assertThat(fixture.sent()).isEmpty();
    fixture.answerGrantsAndProbes(List.copyOf(fixture.effects));
    assertThat(fixture.sent()).containsExactly("a");
  }

  /** Guards against a target that is held to the slots of its first announcement. */
  @ParameterizedTest
  @CsvSource({"6, 6", "1, 1"})
  void followsAnotherNumberOfSlotsOfTheSameIncarnation(int slots, int expectedInFlight) {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.control.putTarget(FakeControl.spec("t1", FakeControl.KEYED, slots, true, "plateau"));
    fixture.viewChanged();
    for (int i = 0; i < 30; i++) {
      fixture.offer("fast" + i, 0, 5_000);
      fixture.advance(10, true);
      fixture.reply("fast" + i, COMPLETED);
    }
    fixture.effects.clear();
    for (int i = 0; i < 10; i++) {
      fixture.offer("a" + i, 0, 5_000);
    }
    assertThat(fixture.sent()).hasSize(expectedInFlight);
  }

  @ParameterizedTest
  @CsvSource({"399, true", "400, false", "5000, false"})
  void sendsOnlyWithinTheLease(long sinceExtensionMillis, boolean expectSent) {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.advance(50, true);
    long extendedMillis = fixture.nowMillis;
    fixture.nowMillis = extendedMillis + sinceExtensionMillis - 10;
    fixture.apply(new DispatchEvent.Tick(fixture.nowNanos()));
    fixture.answerGrantsAndProbes(List.copyOf(fixture.effects));
    fixture.nowMillis = extendedMillis + sinceExtensionMillis;
    fixture.offer("a", 0, 5_000);
    assertThat(fixture.refused("a").isEmpty()).isEqualTo(expectSent);
    if (!expectSent) {
      assertThat(fixture.refused("a")).contains(ErrorKind.NO_LEASE);
    }
  }

  @Test
  void refusesQueuedRequestsWhenTheLeaseExpires() {
    DispatchFixture fixture = new DispatchFixture(true);
    fixture.offer("a", 0, 5_000);
    fixture.nowMillis += 401;
    fixture.apply(new DispatchEvent.Tick(fixture.nowNanos()));
    assertThat(fixture.refused("a")).contains(ErrorKind.NO_LEASE);
    fixture.apply(
        new DispatchEvent.GrantAnswered(
            fixture.nowNanos(), DispatchFixture.TARGET, fixture.fence, 0, 0, fixture.nowMillis));
    assertThat(fixture.sent()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"-1, STALE_FENCE", "1, STALE_FENCE"})
  void refusesAnotherFence(long difference, ErrorKind kind) {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.fence = Fence.of(fixture.fence.value() + difference);
    fixture.offer("a", 0, 5_000);
    assertThat(fixture.refused("a")).contains(kind);
  }

  @Test
  void refusesASlotOfAnotherTarget() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 3, 5_000);
    fixture.offer("b", 99, 5_000);
    assertThat(fixture.refused("a")).contains(ErrorKind.NO_OWNER);
    assertThat(fixture.refused("b")).contains(ErrorKind.NO_OWNER);
  }

  @Test
  void startsWithOneSlotAndNeverExceedsTheSlotsOfTheTarget() {
    DispatchFixture fixture = new DispatchFixture(true);
    fixture.answerGrantsAndProbes(List.copyOf(fixture.effects));
    fixture.offer("a", 0, 5_000);
    fixture.offer("b", 0, 5_000);
    assertThat(fixture.sent()).containsExactly("a");
    DispatchFixture warmFixture = new DispatchFixture(true).warmUp();
    for (String id : new String[] {"a", "b", "c"}) {
      warmFixture.offer(id, 0, 5_000);
    }
    assertThat(warmFixture.sent()).containsExactly("a", "b");
    assertThat(warmFixture.reducer.loadOf(DispatchFixture.TARGET)).isEqualTo(3);
    warmFixture.reply("a", COMPLETED);
    assertThat(warmFixture.sent()).containsExactly("a", "b", "c");
  }

  @Test
  void leavesSlotsForRequestsUnderOlderFences() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.advance(100, false);
    fixture.apply(
        new DispatchEvent.GrantAnswered(
            fixture.nowNanos(), DispatchFixture.TARGET, fixture.fence, 0, 2, fixture.nowMillis));
    fixture.offer("a", 0, 5_000);
    assertThat(fixture.sent()).isEmpty();
  }

  @Test
  void servesCustomersInTurn() {
    DispatchFixture fixture = new DispatchFixture(true);
    for (String id : new String[] {"x1", "x2", "x3", "y1"}) {
      String customer = id.substring(0, 1);
      fixture.offer(fixture.request(id, 0, 5_000, Optional.of(customer), Optional.empty()));
    }
    fixture.answerGrantsAndProbes(List.copyOf(fixture.effects));
    fixture.reply("x1", COMPLETED);
    fixture.reply("y1", COMPLETED);
    assertThat(fixture.sent()).containsExactly("x1", "y1", "x2");
  }

  @Test
  void limitsTheQueueLength() {
    DispatchFixture fixture = new DispatchFixture(true);
    for (int i = 0; i < 17; i++) {
      fixture.offer("q" + i, 0, 5_000);
    }
    assertThat(fixture.refused("q15")).isEmpty();
    assertThat(fixture.refused("q16")).contains(ErrorKind.OVERLOADED);
  }

  @Test
  void refusesRequestsThatCannotMeetTheirDeadline() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 0, 5_000);
    fixture.offer("b", 0, 5_000);
    // The mean service time is 10 ms and the target has 2 slots, so the expected wait is 5 ms.
    fixture.offer("late", 0, 4);
    fixture.offer("fits", 0, 6);
    assertThat(fixture.refused("late")).contains(ErrorKind.DEADLINE_UNREACHABLE);
    assertThat(fixture.refused("fits")).isEmpty();
    fixture.advance(10, true);
    assertThat(fixture.refused("fits")).contains(ErrorKind.DEADLINE_UNREACHABLE);
    assertThat(ErrorKind.DEADLINE_UNREACHABLE.outcome().isRetrySafe()).isTrue();
  }

  @Test
  void holdsRequestsOfASlotInHandoverUntilTheOwnerChanges() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("before", 1, 5_000);
    fixture.control.startHandover(1, "t2");
    fixture.viewChanged();
    fixture.offer("during", 1, 5_000);
    assertThat(fixture.sent()).containsExactly("before");
    assertThat(fixture.report().releasedSlots()).isEmpty();
    fixture.reply("before", COMPLETED);
    assertThat(fixture.sent()).containsExactly("before");
    assertThat(fixture.report().releasedSlots()).containsExactly(1);
    fixture.control.setOwner(1, "t2");
    fixture.viewChanged();
    assertThat(fixture.refused("during")).contains(ErrorKind.NO_OWNER);
  }

  @ParameterizedTest
  @CsvSource({"true, 0, true", "true, 1, false", "false, 0, true"})
  void releasesNoSlotWhileOlderRequestsRun(
      boolean checksFences, int runningOlder, boolean released) {
    DispatchFixture fixture = new DispatchFixture(checksFences).warmUp();
    fixture.control.startHandover(1, "t2");
    fixture.viewChanged();
    fixture.advance(110, false);
    if (checksFences) {
      fixture.apply(
          new DispatchEvent.GrantAnswered(
              fixture.nowNanos(),
              DispatchFixture.TARGET,
              fixture.fence,
              0,
              runningOlder,
              fixture.nowMillis));
    }
    assertThat(fixture.report().releasedSlots().contains(1)).isEqualTo(released);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void keepsTheSlotAndHashSlotOfARequestWithBrokenConnection(boolean checksFences) {
    DispatchFixture fixture = new DispatchFixture(checksFences).warmUp();
    fixture.offer("a", 1, 500);
    fixture.offer("b", 0, 500);
    fixture.reply("a", new TargetReply.Broken());
    fixture.offer("c", 0, 5_000);
    assertThat(fixture.refused("a")).contains(ErrorKind.TARGET_FAILED);
    assertThat(fixture.sent()).containsExactly("a", "b");
    fixture.control.startHandover(1, "t2");
    fixture.viewChanged();
    fixture.advance(1_600, true);
    assertThat(fixture.sent()).containsExactly("a", "b", "c");
    assertThat(fixture.report().releasedSlots()).isEmpty();
    fixture.control.setIncarnation("t1", "i2");
    fixture.viewChanged();
    assertThat(fixture.report().releasedSlots()).containsExactly(1);
  }

  @Test
  void reportsNotRunOnlyForRequestsThatWereNotRun() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("fence", 0, 5_000);
    fixture.reply("fence", new TargetReply.RefusedFence());
    fixture.offer("unsent", 0, 5_000);
    fixture.reply("unsent", new TargetReply.NotSent());
    fixture.offer("broken", 0, 5_000);
    fixture.reply("broken", new TargetReply.Broken());
    assertThat(fixture.refused("fence").orElseThrow().outcome().isRetrySafe()).isTrue();
    assertThat(fixture.refused("unsent").orElseThrow().outcome().isRetrySafe()).isTrue();
    assertThat(fixture.refused("broken").orElseThrow().outcome().isRetrySafe()).isFalse();
  }

  @Test
  void sheddingLowersTheLimitUntilRetryAfterHasPassed() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 0, 5_000);
    fixture.offer("b", 0, 5_000);
    fixture.reply("a", new TargetReply.RefusedShedding(100));
    fixture.offer("c", 0, 5_000);
    fixture.reply("b", COMPLETED);
    assertThat(fixture.refused("a")).contains(ErrorKind.TARGET_REFUSED);
    assertThat(fixture.sent()).containsExactly("a", "b");
    fixture.advance(110, true);
    assertThat(fixture.sent()).containsExactly("a", "b", "c");
  }

  /**
   * Guards against requests that reach a target while it wants none, and against a pause that ends
   * before its time because it is long.
   */
  @ParameterizedTest
  @CsvSource({"100", "1900", "5000", "60000"})
  void pauseOfATargetIsKeptToItsEnd(long pauseMillis) {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 0, 5_000);
    fixture.reply("a", new TargetReply.RefusedShedding(pauseMillis));
    fixture.offer("b", 0, pauseMillis + 1_000);
    fixture.advance(pauseMillis - 1, true);
    assertThat(fixture.sent()).containsExactly("a");
    fixture.advance(30, true);
    assertThat(fixture.sent()).containsExactly("a", "b");
  }

  /** Guards against requests that wait for the end of a pause beyond their deadline. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void requestThatAPauseOutlastsIsRefusedAtOnce(boolean isQueuedBefore) {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 0, 5_000);
    fixture.offer("b", 0, 5_000);
    if (isQueuedBefore) {
      fixture.offer("c", 0, 5_000);
    }
    fixture.reply("a", new TargetReply.RefusedShedding(3_600_000));
    if (!isQueuedBefore) {
      fixture.offer("c", 0, 5_000);
    }
    assertThat(fixture.refused("c")).contains(ErrorKind.OVERLOADED);
    assertThat(fixture.sent()).containsExactly("a", "b");
  }

  @Test
  void deadlineRefusesWithUnknownOutcomeAndKeepsTheSlotDuringTheGraceTime() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 0, 100);
    fixture.offer("b", 0, 100);
    fixture.offer("c", 0, 5_000);
    fixture.advance(100, true);
    assertThat(fixture.refused("a")).contains(ErrorKind.DEADLINE_EXCEEDED);
    assertThat(fixture.effects)
        .contains(new DispatchEffect.SendCancel(DispatchFixture.TARGET, "a"));
    fixture.advance(990, true);
    assertThat(fixture.sent()).containsExactly("a", "b");
    fixture.advance(20, true);
    assertThat(fixture.sent()).containsExactly("a", "b", "c");
  }

  @Test
  void cancelledRequestKeepsItsSlot() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.offer("a", 0, 5_000);
    fixture.offer("b", 0, 5_000);
    fixture.offer("c", 0, 5_000);
    fixture.apply(new DispatchEvent.RequestCancelled(fixture.nowNanos(), "a"));
    assertThat(fixture.effects)
        .contains(new DispatchEffect.SendCancel(DispatchFixture.TARGET, "a"));
    assertThat(fixture.sent()).containsExactly("a", "b");
    fixture.reply("a", COMPLETED);
    assertThat(fixture.sent()).containsExactly("a", "b", "c");
  }

  @Test
  void releasesAnUnresponsiveTargetOnceItsGrantHasExpiredAndResumesOnlyWhenLost() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.advance(300, true);
    fixture.advance(260, false);
    assertThat(fixture.condition()).isEqualTo(TargetCondition.SUSPECT);
    fixture.advance(400, false);
    assertThat(fixture.condition()).isEqualTo(TargetCondition.RELEASED);
    long grants = fixture.grantsSent();
    fixture.apply(
        new DispatchEvent.GrantAnswered(
            fixture.nowNanos(), DispatchFixture.TARGET, fixture.fence, 0, 0, fixture.nowMillis));
    fixture.offer("a", 0, 5_000);
    fixture.advance(1_000, true);
    assertThat(fixture.grantsSent()).isEqualTo(grants);
    assertThat(fixture.sent()).isEmpty();
    fixture.control.setStatus("t1", TargetStatus.LOST);
    fixture.answerGrantsAndProbes(fixture.apply(fixture.control.viewChanged(fixture.nowNanos())));
    fixture.advance(50, true);
    assertThat(fixture.grantsSent()).isGreaterThan(grants);
    assertThat(fixture.condition()).isEqualTo(TargetCondition.HEALTHY);
  }

  @Test
  void resumesUnderTheSameFenceOnlyWithoutUnresolvedRequests() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    fixture.advance(300, true);
    fixture.offer("a", 0, 100);
    fixture.advance(700, false);
    assertThat(fixture.condition()).isEqualTo(TargetCondition.RELEASED);
    long grants = fixture.grantsSent();
    fixture.control.setStatus("t1", TargetStatus.LOST);
    fixture.viewChanged();
    fixture.advance(2_000, true);
    assertThat(fixture.grantsSent()).isEqualTo(grants);
    fixture.reply("a", new TargetReply.RefusedFence());
    fixture.advance(50, true);
    assertThat(fixture.grantsSent()).isGreaterThan(grants);
  }

  @Test
  void neverReleasesATargetWhileAGrantMayBeValid() {
    DispatchFixture fixture = new DispatchFixture(true);
    // The previous dispatcher may have sent grants up to now.
    long lastGrantMillis = fixture.nowMillis;
    for (int i = 0; i < 100; i++) {
      long grants = fixture.grantsSent();
      fixture.advance(10, false);
      lastGrantMillis = fixture.grantsSent() > grants ? fixture.nowMillis : lastGrantMillis;
      if (fixture.condition() == TargetCondition.RELEASED) {
        // 400 ms until the grant expires, 1% for clock drift and a margin of 20 ms.
        assertThat(fixture.nowMillis - lastGrantMillis).isGreaterThanOrEqualTo(424);
        return;
      }
    }
    assertThat(fixture.condition()).isEqualTo(TargetCondition.RELEASED);
  }

  @ParameterizedTest
  @CsvSource({"none, RELEASED", "inFlight, SUSPECT", "broken, SUSPECT"})
  void releasesATargetWithoutFenceChecksOnlyWhenAllRequestsAreResolved(
      String unresolvedRequest, TargetCondition expected) {
    DispatchFixture fixture = new DispatchFixture(false).warmUp();
    if (!unresolvedRequest.equals("none")) {
      fixture.offer("a", 0, 100);
    }
    if (unresolvedRequest.equals("broken")) {
      fixture.reply("a", new TargetReply.Broken());
    }
    fixture.advance(3_000, false);
    assertThat(fixture.condition()).isEqualTo(expected);
  }

  @Test
  void takeoverWithoutFenceChecksReleasesNoEarlierOwnership() {
    DispatchFixture fixture = new DispatchFixture(false);
    fixture.fence = fixture.control.grant("t1", DispatchFixture.SELF);
    fixture.control.startHandover(1, "t2");
    fixture.viewChanged();
    fixture.advance(500, true);
    assertThat(fixture.report().releasedSlots()).isEmpty();
    fixture.advance(2_000, false);
    assertThat(fixture.condition()).isEqualTo(TargetCondition.SUSPECT);
    fixture.control.setIncarnation("t1", "i2");
    fixture.viewChanged();
    fixture.advance(500, true);
    assertThat(fixture.report().releasedSlots()).containsExactly(1);
  }

  @Test
  void rejectedGrantStopsTheDispatcher() {
    DispatchFixture fixture = new DispatchFixture(true);
    fixture.offer("a", 0, 5_000);
    Fence newerFence = Fence.of(fixture.fence.value() + 5);
    fixture.apply(
        new DispatchEvent.GrantRejected(fixture.nowNanos(), DispatchFixture.TARGET, newerFence));
    fixture.offer("b", 0, 5_000);
    assertThat(fixture.refused("a")).contains(ErrorKind.STALE_FENCE);
    assertThat(fixture.refused("b")).contains(ErrorKind.STALE_FENCE);
  }

  @Test
  void movedGrantRefusesQueuedRequestsAndStillHandlesThoseSent() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    for (String id : new String[] {"a", "b", "c"}) {
      fixture.offer(id, 0, 200);
    }
    fixture.control.grant("t1", OTHER_INSTANCE);
    fixture.viewChanged();
    assertThat(fixture.refused("c")).contains(ErrorKind.STALE_FENCE);
    fixture.reply("a", new TargetReply.Broken());
    assertThat(fixture.refused("a")).contains(ErrorKind.TARGET_FAILED);
    fixture.advance(210, false);
    assertThat(fixture.refused("b")).contains(ErrorKind.DEADLINE_EXCEEDED);
    assertThat(fixture.reducer.reports(fixture.nowNanos())).isEmpty();
  }

  @Test
  void shutdownFinishesAcceptedRequestsBeforeReportsEnd() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    for (String id : new String[] {"a", "b", "c"}) {
      fixture.offer(id, 0, 5_000);
    }
    fixture.apply(new DispatchEvent.ShutdownRequested(fixture.nowNanos()));
    fixture.offer("d", 0, 5_000);
    assertThat(fixture.refused("d")).contains(ErrorKind.SHUTTING_DOWN);
    fixture.reply("a", COMPLETED);
    fixture.reply("b", COMPLETED);
    assertThat(fixture.sent()).containsExactly("a", "b", "c");
    assertThat(fixture.reducer.reports(fixture.nowNanos())).hasSize(1);
    fixture.reply("c", COMPLETED);
    assertThat(fixture.reducer.reports(fixture.nowNanos())).isEmpty();
    long grants = fixture.grantsSent();
    fixture.advance(500, true);
    assertThat(fixture.grantsSent()).isEqualTo(grants);
  }

  @Test
  void identityMayRunAgainWhenItsRequestWasNotRun() {
    DispatchFixture fixture = new DispatchFixture(true).warmUp();
    Optional<RequestIdentity> identity = Optional.of(DispatchFixture.stamped("i", 1_000));
    fixture.offer(fixture.request("a", 0, 5_000, Optional.empty(), identity));
    fixture.offer(fixture.request("again", 0, 5_000, Optional.empty(), identity));
    assertThat(fixture.refused("again")).contains(ErrorKind.IDENTITY_IN_USE);
    fixture.reply("a", new TargetReply.RefusedFence());
    fixture.offer(fixture.request("b", 0, 5_000, Optional.empty(), identity));
    fixture.reply("b", COMPLETED);
    fixture.offer(fixture.request("c", 0, 5_000, Optional.empty(), identity));
    assertThat(fixture.sent()).containsExactly("a", "b");
    assertThat(fixture.refused("c")).contains(ErrorKind.IDENTITY_ALREADY_RUN);
  }

  @Test
  void refusesUnstampedIdentityUntilHashSlotIsOwnedForTheRetentionTime() {
    DispatchFixture fixture =
        new DispatchFixture(true, new DispatchSettings(8, 10, 2_000)).warmUp();
    Optional<RequestIdentity> unstamped =
        Optional.of(new RequestIdentity("u", OptionalLong.empty()));
    fixture.advance(1_000, true);
    fixture.control.setOwner(1, "t1");
    fixture.viewChanged();
    fixture.advance(1_500, true);
    fixture.offer(fixture.request("kept", 0, 5_000, Optional.empty(), unstamped));
    fixture.offer(
        fixture.request(
            "moved",
            1,
            5_000,
            Optional.empty(),
            Optional.of(new RequestIdentity("v", OptionalLong.empty()))));
    assertThat(fixture.sent()).containsExactly("kept");
    assertThat(fixture.refused("moved")).contains(ErrorKind.IDENTITY_TOO_OLD);
  }
}
