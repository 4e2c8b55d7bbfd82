package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.WeightedService;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {
  private static final int MAX_ATTEMPTS = 2;

  /**
   * Load pattern: targets that fail many requests at once. Guards against requests that run twice,
   * and against calls that can bring nothing any more.
   */
  @ParameterizedTest
  @CsvSource({
    "SAFE, false, true, 1, 1, 500, true",
    "UNSAFE, false, false, 1, 1, 500, true",
    "UNSAFE, false, true, 1, 1, 500, false",
    "SAFE, false, false, 2, 2, 500, false",
    "SAFE, true, false, 2, 2, 500, true",
    "SAFE, true, false, 1, 3, 500, false",
    "SAFE, false, false, 1, 1, 41, true",
    "SAFE, false, false, 1, 1, 40, false"
  })
  void onlyUsefulAndSafeCallsAreRepeated(
      RouteKind kind,
      boolean isKeyed,
      boolean mayHaveExecuted,
      int triedTargets,
      int sends,
      long remainingMillis,
      boolean expected) {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            kind,
            1_000,
            500,
            1,
            MAX_ATTEMPTS,
            List.of(new WeightedService(ServiceName.of("s"), 1)));
    assertThat(
            RetryPolicy.allows(
                route, isKeyed, mayHaveExecuted, triedTargets, sends, remainingMillis))
        .isEqualTo(expected);
  }
}
