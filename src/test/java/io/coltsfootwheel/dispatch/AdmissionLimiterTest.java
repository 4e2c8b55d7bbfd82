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

/** Guards against use beyond the plan, and against refusals that the plan does not demand. */
class AdmissionLimiterTest {
  private static final CustomerId CUSTOMER = CustomerId.of("salon-almadies");
  private static final PlanName PLAN = PlanName.of("standard");

  private final List<InstanceId> instances = new ArrayList<>();
  private final Map<InstanceId, AdmissionLimiter> limiters = new HashMap<>();

  private void fleet(int size, double rate, int burst, int concurrency) {
    for (int i = 0; i < size; i++) {
      instances.add(InstanceId.of("entry-" + i));
    }
    Allowance allowance = new Allowance(rate, burst, concurrency, Set.of(FakeControl.KEYED));
    PolicyLists lists = new PolicyLists(1, Map.of(CUSTOMER, PLAN), Map.of(PLAN, allowance));
    for (InstanceId instance : instances) {
      AdmissionLimiter limiter = new AdmissionLimiter();
      limiter.viewChanged(lists, instances);
      limiters.put(instance, limiter);
    }
  }

  /** Tries one request and passes messages to the home and back when it is reachable. */
  private Optional<ErrorKind> admit(InstanceId entry, long nowMillis, boolean homeReachable) {
    long now = DispatchFixture.millis(nowMillis);
    List<EntryEffect> out = new ArrayList<>();
    Optional<ErrorKind> kind =
        limiters
            .get(entry)
            .admit(now, Optional.of(CUSTOMER), FakeControl.KEYED, out)
            .map(AdmissionLimiter.Refusal::kind);
    for (EntryEffect effect : out) {
      if (homeReachable && effect instanceof EntryEffect.RequestTokens r) {
        EntryEvent.TokensRequested wanted =
            new EntryEvent.TokensRequested(now, entry, r.customer(), r.tokens(), r.permits());
        EntryEffect.GrantTokens g =
            (EntryEffect.GrantTokens) limiters.get(r.home()).tokensRequested(wanted).orElseThrow();
        limiters
            .get(entry)
            .tokensGranted(
                new EntryEvent.TokensGranted(now, g.customer(), g.tokens(), g.permits()));
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
  void admitsOnlyWhatThePlanOpens(String customer, String service, ErrorKind expected) {
    fleet(1, 10, 10, 10);
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
  void admitsEverybodyWhileTheListsAreEmpty() {
    AdmissionLimiter limiter = new AdmissionLimiter();
    assertThat(limiter.admit(0, Optional.empty(), FakeControl.KEYED, new ArrayList<>())).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void keepsTheRateOverTheFleet(boolean homeReachable) {
    fleet(4, 100, 20, 1_000_000);
    int admitted = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      InstanceId entry = instances.get(millis % 4);
      if (admit(entry, millis, homeReachable).isEmpty()) {
        admitted++;
        limiters.get(entry).released(Optional.of(CUSTOMER));
      }
    }
    assertThat(admitted).isBetween(900, 1_000 + 2 * 20 + 4);
  }

  @Test
  void givesTheWholeRateToTheOnlyEntryThatIsUsed() {
    fleet(4, 100, 20, 1_000_000);
    int admitted = 0;
    for (int millis = 0; millis < 10_000; millis++) {
      if (admit(instances.get(2), millis, true).isEmpty()) {
        admitted++;
        limiters.get(instances.get(2)).released(Optional.of(CUSTOMER));
      }
    }
    assertThat(admitted).isGreaterThan(900);
  }

  @ParameterizedTest
  @CsvSource({"true, 12", "false, 12"})
  void keepsTheConcurrencyOverTheFleet(boolean homeReachable, int concurrency) {
    fleet(4, 1_000_000, 1_000_000, concurrency);
    int inFlight = 0;
    for (int millis = 0; millis < 5_000; millis++) {
      if (admit(instances.get(millis % 4), millis, homeReachable).isEmpty()) {
        inFlight++;
      }
    }
    assertThat(inFlight).isBetween(concurrency - 2, 2 * concurrency + 4);
    if (!homeReachable) {
      assertThat(inFlight).isEqualTo(concurrency);
    }
  }

  @Test
  void movesFewHomesWhenAnInstanceLeaves() {
    fleet(10, 1, 1, 1);
    int moved = 0;
    for (int i = 0; i < 1_000; i++) {
      CustomerId customer = CustomerId.of("c" + i);
      InstanceId before = HomeInstances.of(customer, instances).orElseThrow();
      InstanceId after = HomeInstances.of(customer, instances.subList(0, 9)).orElseThrow();
      moved += before.equals(after) ? 0 : 1;
    }
    assertThat(moved).isBetween(50, 150);
  }
}
