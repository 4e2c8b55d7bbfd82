package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against unsafe retries, unlimited waiting and an unbalanced choice of targets. */
class EntryRouterTest {
  private static final InstanceId SELF = InstanceId.of("entry-1");
  private static final InstanceId DISPATCHING_INSTANCE = InstanceId.of("entry-2");
  private static final byte[] KEY = {1, 2, 3};

  private final FakeControl control = new FakeControl();
  private final List<EntryEffect> effects = new ArrayList<>();
  private EntryRouter router = router(EntrySettings.defaults());
  private long nowMillis = 1_000;

  private static EntryRouter router(EntrySettings settings) {
    return new EntryRouter(SELF, "s1", AvailabilityZone.of("plateau"), settings, 7);
  }

  private long nowNanos() {
    return DispatchFixture.millisToNanos(nowMillis);
  }

  private List<EntryEffect> apply(EntryEvent event) {
    List<EntryEffect> out = router.apply(event);
    effects.addAll(out);
    return out;
  }

  private void updateView() {
    apply(new EntryEvent.ViewChanged(nowNanos(), control.view()));
    apply(new EntryEvent.ControlContact(nowNanos(), nowNanos()));
  }

  private void addKeyedTarget() {
    control.putTarget(FakeControl.spec("t1", FakeControl.KEYED, 2, true, "plateau"));
    control.grant("t1", DISPATCHING_INSTANCE);
    for (int slot = 0; slot < FakeControl.HASH_SLOTS; slot++) {
      control.setOwner(slot, "t1");
    }
    updateView();
  }

  private void sendRequest(
      long number, ServiceName service, boolean idempotent, long deadlineMillis) {
    boolean keyed = service.equals(FakeControl.KEYED);
    apply(
        new EntryEvent.RequestArrived(
            nowNanos(),
            new EntryRequest(
                number,
                service,
                keyed ? Optional.of(KEY) : Optional.empty(),
                Optional.empty(),
                idempotent,
                Optional.empty(),
                nowNanos() + DispatchFixture.millisToNanos(deadlineMillis))));
  }

  private void refuseAttempt(String attempt, ErrorKind kind) {
    apply(new EntryEvent.AttemptRefused(nowNanos(), attempt, kind, 0, "test"));
  }

  private void advanceDelay(long number) {
    nowMillis += 25;
    apply(new EntryEvent.RetryDue(nowNanos(), number));
  }

  private List<EntryEffect.Forward> forwards() {
    return effects.stream()
        .filter(EntryEffect.Forward.class::isInstance)
        .map(EntryEffect.Forward.class::cast)
        .toList();
  }

  private String lastAttempt() {
    return forwards().get(forwards().size() - 1).request().requestId();
  }

  private Optional<ErrorKind> refusal() {
    return effects.stream()
        .filter(EntryEffect.Refuse.class::isInstance)
        .map(effect -> ((EntryEffect.Refuse) effect).kind())
        .findFirst();
  }

  @Test
  void forwardsAKeyToTheDispatcherOfItsOwner() {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, false, 5_000);
    EntryEffect.Forward forward = forwards().get(0);
    assertThat(forward.instance()).isEqualTo(DISPATCHING_INSTANCE);
    assertThat(forward.request().hashSlot()).hasValue(HashSlots.of(KEY, FakeControl.HASH_SLOTS));
    assertThat(forward.request().fence())
        .isEqualTo(
            control
                .view()
                .target(DispatchFixture.TARGET)
                .orElseThrow()
                .grant()
                .orElseThrow()
                .fence());
  }

  @ParameterizedTest
  @CsvSource({
    "false, NO_OWNER, true",
    "false, NO_LEASE, true",
    "false, STALE_FENCE, true",
    "false, TARGET_REFUSED, true",
    "false, TARGET_FAILED, false",
    "true, TARGET_FAILED, true",
    "false, DEADLINE_EXCEEDED, false",
    "false, IDENTITY_TOO_OLD, false",
    "true, IDENTITY_ALREADY_RUN, false",
    "false, DEADLINE_UNREACHABLE, false"
  })
  void retriesOnlyErrorsThatAreSafeToRetry(boolean idempotent, ErrorKind kind, boolean retried) {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, idempotent, 5_000);
    refuseAttempt(lastAttempt(), kind);
    control.grant("t1", DISPATCHING_INSTANCE);
    updateView();
    advanceDelay(1);
    assertThat(forwards()).hasSize(retried ? 2 : 1);
    assertThat(refusal()).isEqualTo(retried ? Optional.empty() : Optional.of(kind));
  }

  @ParameterizedTest
  @CsvSource({"false, false, true", "false, true, false", "true, true, true"})
  void retriesAfterAFailedLinkOnlyWhenNothingWasWritten(
      boolean idempotent, boolean written, boolean retried) {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, idempotent, 5_000);
    apply(new EntryEvent.ForwardFailed(nowNanos(), lastAttempt(), written));
    assertThat(refusal().isEmpty()).isEqualTo(retried);
  }

  /**
   * Guards against reporting a request as not run when an earlier attempt may have been executed.
   */
  @ParameterizedTest
  @CsvSource({"NO_OWNER", "TARGET_REFUSED", "SHUTTING_DOWN"})
  void neverReportsNotRunAfterAnAttemptThatMayHaveRun(ErrorKind laterKind) {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, true, 60);
    refuseAttempt(lastAttempt(), ErrorKind.TARGET_FAILED);
    advanceDelay(1);
    control.grant("t1", DISPATCHING_INSTANCE);
    updateView();
    advanceDelay(1);
    refuseAttempt(lastAttempt(), laterKind);
    assertThat(refusal().map(ErrorKind::outcome)).hasValue(Outcome.UNKNOWN);
  }

  @Test
  void ignoresALateRefusalOfAnEarlierAttempt() {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, false, 5_000);
    String firstAttempt = lastAttempt();
    refuseAttempt(firstAttempt, ErrorKind.NO_LEASE);
    control.grant("t1", DISPATCHING_INSTANCE);
    updateView();
    advanceDelay(1);
    refuseAttempt(firstAttempt, ErrorKind.TARGET_FAILED);
    assertThat(refusal()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {100, 800, 5_000})
  void stopsWaitingForAnOwnerAtTheDeadlineOrMaximumWait(long deadlineMillis) {
    updateView();
    sendRequest(1, FakeControl.KEYED, false, deadlineMillis);
    long delays = 0;
    for (long end = nowMillis + 3_000; nowMillis < end && refusal().isEmpty(); delays++) {
      advanceDelay(1);
    }
    assertThat(refusal()).contains(ErrorKind.NO_OWNER);
    assertThat(delays * 25).isLessThanOrEqualTo(Math.min(deadlineMillis, 1_500));
  }

  @Test
  void forwardsAfterAnOwnerWasMissingForLessThanASecond() {
    updateView();
    sendRequest(1, FakeControl.KEYED, false, 5_000);
    for (int i = 0; i < 36; i++) {
      advanceDelay(1);
    }
    addKeyedTarget();
    advanceDelay(1);
    assertThat(forwards()).hasSize(1);
    assertThat(refusal()).isEmpty();
  }

  /**
   * Guards against exhausting the retry budget with requests for a dispatcher that is shutting
   * down.
   */
  @ParameterizedTest
  @CsvSource({"NO_LEASE", "SHUTTING_DOWN"})
  void waitsBeforeRetryingTheRouteThatRefused(ErrorKind kind) {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, false, 5_000);
    refuseAttempt(lastAttempt(), kind);
    for (int i = 0; i < 7; i++) {
      advanceDelay(1);
    }
    assertThat(forwards()).hasSize(1);
    advanceDelay(1);
    assertThat(forwards()).hasSize(2);
  }

  @Test
  void limitsTheNumberOfWaitingRequests() {
    router = router(new EntrySettings(2, 1_500));
    updateView();
    for (int i = 0; i < 3; i++) {
      sendRequest(i, FakeControl.KEYED, false, 5_000);
    }
    assertThat(effects.stream().filter(EntryEffect.Delay.class::isInstance)).hasSize(2);
    assertThat(refusal()).contains(ErrorKind.NO_OWNER);
  }

  /**
   * Guards against retries that multiply the load, and against an exhausted retry budget as a
   * reason to refuse requests that only wait for a new dispatcher.
   */
  @ParameterizedTest
  @CsvSource({"TARGET_REFUSED, true", "NO_LEASE, false"})
  void limitsRetriesToATenthOfFirstAttempts(ErrorKind kind, boolean refusesOtherRequests) {
    addKeyedTarget();
    for (int i = 0; i < 1_000; i++) {
      sendRequest(i, FakeControl.KEYED, false, 5_000);
    }
    forwards().forEach(forward -> refuseAttempt(forward.request().requestId(), kind));
    nowMillis += 200;
    for (int i = 0; i < 1_000; i++) {
      apply(new EntryEvent.RetryDue(nowNanos(), i));
    }
    assertThat(forwards()).hasSize(1_100);
    assertThat(refusal().isPresent()).isEqualTo(refusesOtherRequests);
  }

  @ParameterizedTest
  @CsvSource({"2999, true", "3000, false"})
  void refusesRequestsWithoutRecentContactToTheControlGroup(
      long sinceContactMillis, boolean admitted) {
    addKeyedTarget();
    nowMillis += sinceContactMillis;
    sendRequest(1, FakeControl.KEYED, false, 5_000);
    assertThat(forwards().isEmpty()).isNotEqualTo(admitted);
  }

  @Test
  void refusesUnknownServices() {
    addKeyedTarget();
    sendRequest(1, ServiceName.of("other"), false, 5_000);
    assertThat(refusal()).contains(ErrorKind.UNKNOWN_SERVICE);
  }

  @Test
  void refusesARequestWhoseDispatcherDoesNotAnswer() {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, false, 500);
    nowMillis += 600;
    apply(new EntryEvent.Tick(nowNanos()));
    assertThat(refusal()).contains(ErrorKind.DEADLINE_EXCEEDED);
    assertThat(effects)
        .contains(new EntryEffect.CancelForward(DISPATCHING_INSTANCE, lastAttempt()));
  }

  @Test
  void cancelsTheAttemptWhenTheCallerDisconnects() {
    addKeyedTarget();
    sendRequest(1, FakeControl.KEYED, false, 500);
    apply(new EntryEvent.CallerDisconnected(nowNanos(), 1));
    assertThat(effects)
        .contains(new EntryEffect.CancelForward(DISPATCHING_INSTANCE, lastAttempt()));
  }

  private void addUnkeyedTargets(int sameZone, int otherZone) {
    for (int i = 0; i < sameZone + otherZone; i++) {
      String zone = i < sameZone ? "plateau" : "pikine";
      control.putTarget(FakeControl.spec("u" + i, FakeControl.UNKEYED, 2, true, zone));
      control.grant("u" + i, DISPATCHING_INSTANCE);
    }
    updateView();
  }

  private Map<String, Integer> requestCountsByTarget(int requests, boolean completeRequests) {
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < requests; i++) {
      sendRequest(i, FakeControl.UNKEYED, false, 5_000);
      EntryEffect.Forward forward = forwards().get(forwards().size() - 1);
      counts.merge(forward.request().target().value(), 1, Integer::sum);
      if (completeRequests) {
        apply(new EntryEvent.ResponseEnded(nowNanos(), forward.request().requestId(), 0));
      }
    }
    return counts;
  }

  @Test
  void prefersTargetsOfTheOwnZoneWhileTheyAreIdle() {
    addUnkeyedTargets(2, 4);
    assertThat(requestCountsByTarget(200, true)).containsOnlyKeys("u0", "u1");
  }

  @Test
  void spreadsLoadEvenlyOverZones() {
    addUnkeyedTargets(2, 4);
    Map<String, Integer> counts = requestCountsByTarget(600, false);
    assertThat(counts).hasSize(6);
    assertThat(counts.values()).allMatch(n -> n > 85 && n < 125);
  }

  @Test
  void avoidsATargetWithAHighLoadHint() {
    addUnkeyedTargets(3, 0);
    int sentToLoaded = 0;
    for (int i = 0; i < 300; i++) {
      sendRequest(i, FakeControl.UNKEYED, false, 5_000);
      DispatchRequest sent = forwards().get(forwards().size() - 1).request();
      boolean isLoaded = sent.target().value().equals("u0");
      sentToLoaded += isLoaded ? 1 : 0;
      apply(new EntryEvent.ResponseEnded(nowNanos(), sent.requestId(), isLoaded ? 50 : 0));
    }
    // Both random candidates are u0 in one of nine cases.
    assertThat(sentToLoaded).isLessThan(60);
  }

  @Test
  void sendsNoUnkeyedRequestToADrainingTarget() {
    addUnkeyedTargets(2, 0);
    control.setStatus("u0", TargetStatus.DRAINING);
    updateView();
    assertThat(requestCountsByTarget(50, true)).containsOnlyKeys("u1");
  }
}
