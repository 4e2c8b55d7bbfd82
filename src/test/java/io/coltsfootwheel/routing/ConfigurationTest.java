package io.coltsfootwheel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.coltsfootwheel.model.ControlCodec;
import io.coltsfootwheel.model.ServiceName;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationTest {
  private static final ServicePolicy LEDGER =
      new ServicePolicy(ServiceName.of("ledger"), true, 100);
  private static final Configuration FIRST = applied(Configuration.empty(), put(0, 5, "a"));

  private static Route route(String name, String service, double weight, long timeoutMillis) {
    return new Route(
        name,
        "host.example",
        "/" + name + "/",
        RouteKind.SAFE,
        timeoutMillis,
        400,
        1,
        2,
        List.of(new WeightedService(ServiceName.of(service), weight)));
  }

  private static ConfigurationChange put(long base, long version, String fingerprint) {
    return new ConfigurationChange(
        base,
        version,
        fingerprint,
        true,
        List.of(
            ConfigurationItem.of(LEDGER, "{}"),
            ConfigurationItem.of(route("one", "ledger", 1, 1_000), "{\"n\":1}")),
        List.of());
  }

  private static ConfigurationChange patch(Route route) {
    return new ConfigurationChange(
        5, 7, "p", false, List.of(ConfigurationItem.of(route, "{}")), List.of());
  }

  private static Configuration applied(Configuration base, ConfigurationChange change) {
    return ((ChangeOutcome.Applicable) base.evaluate(change)).next();
  }

  /** Guards against entries that route by anything else than the operator configured. */
  @Test
  void configurationForRoutingHasTheSameRoutes() {
    Configuration read =
        ControlCodec.decode(ControlCodec.encode(FIRST.forRouting()), Configuration.class);
    assertThat(read.version()).isEqualTo(FIRST.version());
    assertThat(read.items())
        .extracting(ConfigurationItem::route, ConfigurationItem::service, ConfigurationItem::limits)
        .isEqualTo(
            FIRST.items().stream().map(i -> tuple(i.route(), i.service(), i.limits())).toList());
    assertThat(read.items()).extracting(ConfigurationItem::document).containsOnly("");
  }

  /** Guards against acknowledging a second change that is based on the same version. */
  @Test
  void changeOnAnotherVersionConflicts() {
    assertThat(FIRST.evaluate(put(0, 9, "b"))).isEqualTo(new ChangeOutcome.Conflict(5));
  }

  /** Guards against rejecting the repetition of a change whose acknowledgement was lost. */
  @Test
  void acceptedChangeIsRecognisedAfterLaterChanges() {
    Configuration later = applied(FIRST, put(5, 6, "b"));
    assertThat(later.evaluate(put(0, 5, "a"))).isInstanceOf(ChangeOutcome.AlreadyAccepted.class);
  }

  /** Guards against accepting a change that makes the configuration invalid. */
  @ParameterizedTest
  @CsvSource({
    "unknown, 1, 1000, is not configured",
    "ledger, 0, 1000, add up to 0",
    "ledger, -1, 1000, below 0",
    "ledger, 1, 600001, timeout",
    "ledger, 1, -1, timeout",
  })
  void invalidRouteIsRejected(String service, double weight, long timeoutMillis, String reason) {
    ChangeOutcome outcome = FIRST.evaluate(patch(route("two", service, weight, timeoutMillis)));
    assertThat(outcome).isInstanceOf(ChangeOutcome.Invalid.class);
    assertThat(((ChangeOutcome.Invalid) outcome).reason()).contains(reason);
  }

  /** Guards against accepting a latency objective far above the timeout. */
  @ParameterizedTest
  @CsvSource({"61000, false", "60999, true"})
  void objectiveMayExceedTimeoutByLessThanAMinute(long objectiveMillis, boolean valid) {
    Route route =
        new Route(
            "two",
            "h",
            "/t/",
            RouteKind.SAFE,
            1_000,
            objectiveMillis,
            0,
            1,
            List.of(new WeightedService(ServiceName.of("ledger"), 1)));
    assertThat(FIRST.evaluate(patch(route)) instanceof ChangeOutcome.Applicable).isEqualTo(valid);
  }

  /** Guards against accepting a version that does not increase. */
  @ParameterizedTest
  @CsvSource({"5", "4"})
  void versionMustIncrease(long version) {
    assertThat(FIRST.evaluate(put(5, version, "b"))).isInstanceOf(ChangeOutcome.Invalid.class);
  }

  /** Guards against the removal of a service that a route refers to. */
  @Test
  void removalOfAServiceInUseIsRejected() {
    ConfigurationChange change =
        new ConfigurationChange(
            5, 7, "r", false, List.of(), List.of(new ItemKey(ItemType.SERVICE, "ledger")));
    assertThat(FIRST.evaluate(change)).isInstanceOf(ChangeOutcome.Invalid.class);
  }

  /** Guards against the loss of items, their order or accepted fingerprints in a snapshot. */
  @Test
  void encodingPreservesConfiguration() {
    Configuration copy = ControlCodec.decode(ControlCodec.encode(FIRST), Configuration.class);
    assertThat(copy.version()).isEqualTo(5);
    assertThat(copy.items()).isEqualTo(FIRST.items());
    assertThat(copy.evaluate(put(0, 5, "a"))).isInstanceOf(ChangeOutcome.AlreadyAccepted.class);
  }
}
