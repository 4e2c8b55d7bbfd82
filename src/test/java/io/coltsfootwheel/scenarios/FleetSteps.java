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

/** Steps of the scenarios; Cucumber makes one instance for each scenario. */
public final class FleetSteps {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final AtomicInteger ENDED = new AtomicInteger();

  private final Map<String, Command> changes = new HashMap<>();
  private final Map<String, List<CommandResult>> answers = new HashMap<>();
  private final List<String> refusals = new ArrayList<>();
  private ScenarioFleet fleet;
  private long baseRevision;
  private long silentNanos;

  static int ended() {
    return ENDED.get();
  }

  @After
  public void end() {
    ENDED.incrementAndGet();
  }

  @Given("a fleet of {int} instances and {int} targets that check fences")
  public void fleetThatChecks(int instances, int targets) {
    fleet = new ScenarioFleet(instances, targets, true);
    assertThat(fleet.ownsAll()).isTrue();
  }

  @Given("a fleet of {int} instances and {int} targets that do not check fences")
  public void fleetThatDoesNotCheck(int instances, int targets) {
    fleet = new ScenarioFleet(instances, targets, false);
    assertThat(fleet.ownsAll()).isTrue();
  }

  @When(
      "operator {string} puts customer {string} on a plan with burst {int} and concurrency {int}"
          + " based on the {word} revision")
  public void apply(String operator, String customer, int burst, int concurrency, String which) {
    baseRevision = which.equals("current") ? fleet.state().lists().revision() : baseRevision;
    PlanName plan = PlanName.of("plan");
    changes.put(
        operator,
        new Command.ApplyLists(
            "change-of-" + operator,
            baseRevision,
            Map.of(CustomerId.of(customer), plan),
            Map.of(plan, new Allowance(1, burst, concurrency, Set.of(ScenarioFleet.LEDGER)))));
    send(operator);
  }

  @When("operator {string} resends the change")
  public void send(String operator) {
    answers
        .computeIfAbsent(operator, o -> new ArrayList<>())
        .add(fleet.commit(changes.get(operator)));
  }

  @Then("operator {string} is told that the change is accepted")
  public void accepted(String operator) {
    assertThat(answers.get(operator).get(0)).isInstanceOf(CommandResult.Accepted.class);
  }

  @Then("operator {string} is told of a conflict that shows customer {string}")
  public void conflict(String operator, String customer) {
    CommandResult.Conflict conflict = (CommandResult.Conflict) answers.get(operator).get(0);
    assertThat(conflict.differences()).anyMatch(line -> line.contains("customer " + customer));
  }

  @Then("operator {string} is told the same as before")
  public void sameAnswer(String operator) {
    assertThat(answers.get(operator)).hasSize(2);
    assertThat(answers.get(operator).get(1)).isEqualTo(answers.get(operator).get(0));
  }

  @Then("customer {string} has no plan")
  public void noPlan(String customer) {
    assertThat(fleet.state().lists().plans()).doesNotContainKey(CustomerId.of(customer));
  }

  @When("the instance hears nothing of the control group for {int} ms")
  public void silence(int millis) {
    silentNanos = TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @When("customer {string} sends {int} requests to {string}")
  public void requests(String customer, int count, String service) {
    EntryRouter router =
        new EntryRouter(
            ScenarioFleet.instance(1),
            "s",
            AvailabilityZone.of("zone"),
            EntrySettings.defaults(),
            1);
    router.apply(new EntryEvent.ViewChanged(fleet.nanos(), fleet.state()));
    router.apply(new EntryEvent.ControlContact(fleet.nanos()));
    long now = fleet.nanos() + silentNanos;
    for (int n = 0; n < count; n++) {
      EntryRequest request =
          new EntryRequest(
              n,
              ServiceName.of(service),
              Optional.of("key".getBytes(StandardCharsets.UTF_8)),
              Optional.of(CustomerId.of(customer)),
              false,
              Optional.empty(),
              now + SECOND);
      router.apply(new EntryEvent.RequestArrived(now, request)).stream()
          .filter(EntryEffect.Refuse.class::isInstance)
          .map(effect -> ((EntryEffect.Refuse) effect).kind().code())
          .forEach(refusals::add);
    }
  }

  @Then("{int} requests are refused with {string}")
  public void refused(int count, String code) {
    assertThat(refusals).hasSize(count).allMatch(code::equals);
  }

  @When("the operator drains target {int}")
  public void drain(int target) {
    fleet.setStatus(ScenarioFleet.target(target), TargetStatus.DRAINING);
  }

  @When("the operator declares target {int} gone")
  public void gone(int target) {
    fleet.setStatus(ScenarioFleet.target(target), TargetStatus.GONE);
  }

  @When("target {int} freezes with a request in flight")
  public void freeze(int target) {
    fleet.freeze(ScenarioFleet.target(target));
  }

  @When("instance {int} is lost")
  public void lose(int instance) {
    assertThat(dispatchers()).contains(ScenarioFleet.instance(instance).value());
    fleet.lose(ScenarioFleet.instance(instance));
  }

  @When("{int} ms pass")
  public void pass(int millis) {
    fleet.pass(millis);
  }

  @Then("target {int} is {string} and owns nothing")
  public void ownsNothing(int target, String status) {
    assertThat(fleet.owners()).doesNotContain(ScenarioFleet.target(target));
    assertThat(fleet.state().target(ScenarioFleet.target(target)).orElseThrow().status())
        .isEqualTo(TargetStatus.valueOf(status));
  }

  @Then("target {int} still owns its hash slots")
  public void stillOwns(int target) {
    assertThat(fleet.owners()).contains(ScenarioFleet.target(target));
  }

  @Then("every hash slot has an owner")
  public void everySlotIsOwned() {
    assertThat(fleet.ownsAll()).isTrue();
  }

  @Then("instance {int} still holds its grants")
  public void stillHolds(int instance) {
    assertThat(dispatchers()).contains(ScenarioFleet.instance(instance).value());
  }

  @Then("every target has a dispatcher other than instance {int}")
  public void movedFrom(int instance) {
    assertThat(dispatchers())
        .hasSize(fleet.targets().size())
        .doesNotContain(ScenarioFleet.instance(instance).value());
  }

  private List<String> dispatchers() {
    return fleet.targets().stream()
        .flatMap(t -> t.grant().stream())
        .map(grant -> grant.holder().value())
        .toList();
  }
}
