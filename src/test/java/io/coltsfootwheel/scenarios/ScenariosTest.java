package io.coltsfootwheel.scenarios;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.core.cli.Main;
import org.junit.jupiter.api.Test;

/**
 * Guards against behaviour that the users' scenarios rule out.
 *
 * <p>Surefire 3.5.3 ignores the results of {@link ScenarioSuite}: a failed scenario left the build
 * green. The command-line runner returns them.
 */
class ScenariosTest {
  @Test
  void allScenariosPass() {
    byte status = Main.run("--glue", "io.coltsfootwheel.scenarios", "classpath:features");
    assertThat(status).isZero();
    assertThat(FleetSteps.ended()).isEqualTo(13);
  }
}
