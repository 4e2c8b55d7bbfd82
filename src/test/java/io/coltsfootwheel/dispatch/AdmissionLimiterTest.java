package io.coltsfootwheel.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.PolicyLists;
import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against admitting more than a plan allows, and against refusing what it allows. */
class AdmissionLimiterTest {
  private static final CustomerId CUSTOMER = CustomerId.of("salon-almadies");
  private static final PlanName PLAN = PlanName.of("standard");

  private final List<InstanceId> instances = new ArrayList<>();
  private final Map<InstanceId, AdmissionLimiter> limiters = new HashMap<>();

  private void createFleet(int size, double rate, int burst, int concurrency) {
    for (int i = 0; i < size; i++) {
      instances.add(InstanceId.of("entry-" + i));
    }
    Allowance allowance = new Allowance(rate, burst, concurrency, Set.of(FakeControl.KEYED));
    PolicyLists policyLists = new PolicyLists(1, Map.of(CUSTOMER, PLAN), Map.of(PLAN, allowance));
    for (InstanceId instance : instances) {
      AdmissionLimiter limiter = new AdmissionLimiter();
      limiter.viewChanged(policyLists, instances);
      limiters.put(instance, limiter);
    }
  }

  /** Offers one request and exchanges messages with the coordinator if it is reachable. */
  private Optional<ErrorKind> admit(
      InstanceId entry, long nowMillis, boolean coordinatorReachable) {
    long nowNanos = DispatchFixture.millisToNanos(nowMillis);
    List<EntryEffect> out = new ArrayList<>();
    Optional<ErrorKind> kind =
        limiters
            .get(entry)
            .admit(nowNanos, Optional.of(CUSTOMER), FakeControl.KEYED, out)
            .map(AdmissionLimiter.Refusal::kind);
    for (EntryEffect effect : out) {
      if (coordinatorReachable && effect instanceof EntryEffect.RequestTokens request) {
        EntryEvent.TokensRequested tokenRequest =
            new EntryEvent.TokensRequested(
                nowNanos, entry, request.customer(), request.tokens(), request.permits());
        EntryEffect.GrantTokens grant =
            (EntryEffect.GrantTokens)
                limiters.get(request.coordinator()).tokensRequested(tokenRequest).orElseThrow();
        limiters
            .get(entry)
            .tokensGranted(
                new EntryEvent.TokensGranted(
                    nowNanos, grant.customer(), grant.tokens(), grant.permits()));
      }
    }
    return kind;
  }

  @ParameterizedTest
  @CsvSource({
    "salon-almadies, card-ledger, ",
    "salon-almadies, salon-books, NOT_ALLOWED_BY_PLAN",
    "unknown, card-ledger, NOT_ALLOWED_BY_PLAN",
    ", card-ledger, NOT_ALLOWED_BY_PLAN"
  })
  void admitsOnlyServicesOfThePlan(String customer, String service, ErrorKind expected) {
    createFleet(1, 10, 10, 10);
    Optional<AdmissionLimiter.Refusal> refusal =
        limiters
            .get(instances.get(0))
            .admit(
                0,
                Optional.ofNullable(customer).map(CustomerId::of),
                ServiceName.of(service),
                new ArrayList<>());
    assertThat(refusal.map(AdmissionLimiter.Refusal::kind))
        .isEqualTo(Optional.ofNullable(expected));
  }

  @Test
  void admitsAllRequestsWhileNoPlansAreConfigured() {
    AdmissionLimiter limiter = new AdmissionLimiter();
    assertThat(limiter.admit(0, Optional.empty(), FakeControl.KEYED, new ArrayList<>())).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void limitsTheRateOverTheFleet(boolean coordinatorReachable) {
    createFleet(4, 100, 20, 1_000_000);
    int admitted = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      InstanceId entry = instances.get(millis % 4);
      if (admit(entry, millis, coordinatorReachable).isEmpty()) {
        admitted++;
        limiters.get(entry).release(Optional.of(CUSTOMER));
      }
    }
    assertThat(admitted).isBetween(900, 1_000 + 2 * 20 + 4);
  }

  @Test
  void grantsTheFullRateToTheOnlyEntryInUse() {
    createFleet(4, 100, 20, 1_000_000);
    int admitted = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      if (admit(instances.get(2), millis, true).isEmpty()) {
        admitted++;
        limiters.get(instances.get(2)).release(Optional.of(CUSTOMER));
      }
    }
    assertThat(admitted).isGreaterThan(900);
  }

  @ParameterizedTest
  @CsvSource({"true, 12", "false, 12"})
  void limitsTheConcurrencyOverTheFleet(boolean coordinatorReachable, int concurrency) {
    createFleet(4, 1_000_000, 1_000_000, concurrency);
    int inFlight = 0;
    for (int millis = 0; millis < 5_000; millis++) {
      if (admit(instances.get(millis % 4), millis, coordinatorReachable).isEmpty()) {
        inFlight++;
      }
    }
    assertThat(inFlight).isBetween(concurrency - 2, 2 * concurrency + 4);
    if (!coordinatorReachable) {
      assertThat(inFlight).isEqualTo(concurrency);
    }
  }

  @Test
  void movesFewCustomersToAnotherCoordinatorWhenAnInstanceLeaves() {
    createFleet(10, 1, 1, 1);
    int moved = 0;
    for (int i = 0; i < 1_000; i++) {
      CustomerId customer = CustomerId.of("c" + i);
      InstanceId before = CoordinatorSelector.of(customer, instances).orElseThrow();
      InstanceId after = CoordinatorSelector.of(customer, instances.subList(0, 9)).orElseThrow();
      moved += before.equals(after) ? 0 : 1;
    }
    assertThat(moved).isBetween(50, 150);
  }
}
