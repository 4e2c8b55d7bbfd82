package io.coltsfootwheel.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

/**
 * Runs all scenarios of the feature files and fails when one of them fails or is not run.
 *
 * <p>Surefire 3.5.3 ignores the results of {@link ScenarioSuite}, so that the build passed with a
 * failed scenario. The command-line runner returns a failure as its exit status.
 */
class ScenariosTest {
  @Test
  void allScenariosPass() {
    byte status = Main.run("--glue", "io.coltsfootwheel.scenarios", "classpath:features");
    assertThat(status).isZero();
    assertThat(FleetSteps.completedScenarios()).isEqualTo(13);
  }
}
