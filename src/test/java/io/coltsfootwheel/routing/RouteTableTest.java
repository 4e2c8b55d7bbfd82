package io.coltsfootwheel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
  private static Route route(String name, String prefix, double... weights) {
    List<WeightedService> services = new ArrayList<>();
    for (int i = 0; i < weights.length; i++) {
      services.add(new WeightedService(ServiceName.of("s" + i), weights[i]));
    }
    return new Route(name, "Host.example", prefix, RouteKind.SAFE, 1_000, 400, 0, 1, services);
  }

  private static RouteTable table(Route... routes) {
    List<ConfigurationItem> items = new ArrayList<>();
    for (Route route : routes) {
      items.add(ConfigurationItem.of(route, "{}"));
    }
    return RouteTable.of(new Configuration(1, items, List.of()));
  }

  /** Guards against matching the route of a shorter prefix or of another host. */
  @ParameterizedTest
  @CsvSource({
    "host.example, /a/b/1, long",
    "HOST.example:8080, /a/c, short",
    "host.example, /a/b?x=/a/b/, short",
    "host.example, /b/, none",
    "other.example, /a/1, none",
  })
  void longestPrefixOfTheHostWins(String host, String uri, String expected) {
    RouteTable table = table(route("short", "/a/", 1), route("long", "/a/b/", 1));
    assertThat(table.find(host, uri).map(Route::name).orElse("none")).isEqualTo(expected);
  }

  /** Guards against a traffic split that deviates from the weights. */
  @ParameterizedTest
  @CsvSource({"0.0, s0", "0.899, s0", "0.9, s1", "0.999, s1"})
  void trafficIsSplitByWeight(double draw, String expected) {
    Route route = route("r", "/r/", 90, 10);
    assertThat(route.choose(draw).service().value()).isEqualTo(expected);
  }

  /** Guards against traffic to a service of weight 0. */
  @Test
  void serviceOfWeightZeroReceivesNothing() {
    Route route = route("r", "/r/", 0, 1);
    assertThat(route.choose(0).service().value()).isEqualTo("s1");
  }
}
