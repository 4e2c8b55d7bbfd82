package io.coltsfootwheel.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.control.Command;
import io.coltsfootwheel.control.CommandResult;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.EntryEvent;
import io.coltsfootwheel.dispatch.EntryRequest;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.dispatch.EntrySettings;
import io.coltsfootwheel.model.Allowance;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetStatus;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Steps of the scenarios. Cucumber creates one object of this class for each scenario. */
public final class FleetSteps {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final AtomicInteger COMPLETED = new AtomicInteger();

  private final Map<String, Command> changes = new HashMap<>();
  private final Map<String, List<CommandResult>> results = new HashMap<>();
  private final List<String> refusals = new ArrayList<>();
  private ScenarioFleet fleet;
  private long baseRevision;
  private long controlContactAgeNanos;

  static int completedScenarios() {
    return COMPLETED.get();
  }

  @After
  public void countScenario() {
    COMPLETED.incrementAndGet();
  }

  @Given("a fleet of {int} instances and {int} targets that check fences")
  public void fleetThatChecksFences(int instances, int targets) {
    fleet = new ScenarioFleet(instances, targets, true);
    assertThat(fleet.ownsAllHashSlots()).isTrue();
  }

  @Given("a fleet of {int} instances and {int} targets that do not check fences")
  public void fleetThatDoesNotCheckFences(int instances, int targets) {
    fleet = new ScenarioFleet(instances, targets, false);
    assertThat(fleet.ownsAllHashSlots()).isTrue();
  }

  @When(
      "operator {string} puts customer {string} on a plan with burst {int} and concurrency {int}"
          + " based on the {word} revision")
  public void changePlan(
      String operator, String customer, int burst, int concurrency, String revision) {
    baseRevision = revision.equals("current") ? fleet.state().lists().revision() : baseRevision;
    PlanName plan = PlanName.of("plan");
    changes.put(
        operator,
        new Command.ApplyLists(
            "change-of-" + operator,
            baseRevision,
            Map.of(CustomerId.of(customer), plan),
            Map.of(plan, new Allowance(1, burst, concurrency, Set.of(ScenarioFleet.LEDGER)))));
    submitChange(operator);
  }

  @When("operator {string} resends the change")
  public void submitChange(String operator) {
    results
        .computeIfAbsent(operator, key -> new ArrayList<>())
        .add(fleet.commit(changes.get(operator)));
  }

  @Then("operator {string} receives the result that the change is accepted")
  public void changeIsAccepted(String operator) {
    assertThat(results.get(operator).get(0)).isInstanceOf(CommandResult.Accepted.class);
  }

  @Then("operator {string} receives a conflict with the change of customer {string}")
  public void changeConflicts(String operator, String customer) {
    CommandResult.Conflict conflict = (CommandResult.Conflict) results.get(operator).get(0);
    assertThat(conflict.differences()).anyMatch(line -> line.contains("customer " + customer));
  }

  @Then("operator {string} receives the same result as before")
  public void resultIsUnchanged(String operator) {
    assertThat(results.get(operator)).hasSize(2);
    assertThat(results.get(operator).get(1)).isEqualTo(results.get(operator).get(0));
  }

  @Then("customer {string} has no plan")
  public void customerHasNoPlan(String customer) {
    assertThat(fleet.state().lists().plans()).doesNotContainKey(CustomerId.of(customer));
  }

  @When("the instance has no contact with the control group for {int} ms")
  public void loseControlContact(int millis) {
    controlContactAgeNanos = TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @When("customer {string} sends {int} requests to {string}")
  public void sendRequests(String customer, int count, String service) {
    EntryRouter router =
        new EntryRouter(
            ScenarioFleet.instance(1),
            "s",
            AvailabilityZone.of("zone"),
            EntrySettings.defaults(),
            1);
    router.apply(new EntryEvent.ViewChanged(fleet.nanos(), fleet.state()));
    router.apply(new EntryEvent.ControlContact(fleet.nanos(), fleet.nanos()));
    long now = fleet.nanos() + controlContactAgeNanos;
    for (int number = 0; number < count; number++) {
      EntryRequest request =
          new EntryRequest(
              number,
              ServiceName.of(service),
              Optional.of("key".getBytes(StandardCharsets.UTF_8)),
              Optional.of(CustomerId.of(customer)),
              false,
              Optional.empty(),
              now + SECOND_NANOS);
      router.apply(new EntryEvent.RequestArrived(now, request)).stream()
          .filter(EntryEffect.Refuse.class::isInstance)
          .map(effect -> ((EntryEffect.Refuse) effect).kind().code())
          .forEach(refusals::add);
    }
  }

  @Then("{int} requests are refused with {string}")
  public void requestsAreRefused(int count, String code) {
    assertThat(refusals).hasSize(count).allMatch(code::equals);
  }

  @When("the operator drains target {int}")
  public void drain(int target) {
    fleet.setStatus(ScenarioFleet.target(target), TargetStatus.DRAINING);
  }

  @When("the operator declares target {int} gone")
  public void declareGone(int target) {
    fleet.setStatus(ScenarioFleet.target(target), TargetStatus.GONE);
  }

  @When("target {int} freezes with a request in flight")
  public void freeze(int target) {
    fleet.freeze(ScenarioFleet.target(target));
  }

  @When("instance {int} is lost")
  public void loseInstance(int instance) {
    assertThat(dispatchers()).contains(ScenarioFleet.instance(instance).value());
    fleet.loseInstance(ScenarioFleet.instance(instance));
  }

  @When("{int} ms pass")
  public void advance(int millis) {
    fleet.advance(millis);
  }

  @Then("target {int} is {string} and owns nothing")
  public void targetOwnsNothing(int target, String status) {
    assertThat(fleet.owners()).doesNotContain(ScenarioFleet.target(target));
    assertThat(fleet.state().target(ScenarioFleet.target(target)).orElseThrow().status())
        .isEqualTo(TargetStatus.valueOf(status));
  }

  @Then("target {int} still owns its hash slots")
  public void targetStillOwnsHashSlots(int target) {
    assertThat(fleet.owners()).contains(ScenarioFleet.target(target));
  }

  @Then("every hash slot has an owner")
  public void everySlotIsOwned() {
    assertThat(fleet.ownsAllHashSlots()).isTrue();
  }

  @Then("instance {int} still holds its grants")
  public void instanceStillHoldsGrants(int instance) {
    assertThat(dispatchers()).contains(ScenarioFleet.instance(instance).value());
  }

  @Then("every target has a dispatcher other than instance {int}")
  public void allTargetsMovedFrom(int instance) {
    assertThat(dispatchers())
        .hasSize(fleet.targets().size())
        .doesNotContain(ScenarioFleet.instance(instance).value());
  }

  private List<String> dispatchers() {
    return fleet.targets().stream()
        .flatMap(target -> target.grant().stream())
        .map(grant -> grant.holder().value())
        .toList();
  }
}
