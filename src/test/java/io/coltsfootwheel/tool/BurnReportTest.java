package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.coltsfootwheel.api.OperatorApi;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against wrong burn rates and an HTML page that loads other files. */
class BurnReportTest {
  private static final String BURN =
      """
      {"services":[
       {"service":"ledger","windows":[{"windowSeconds":3600,"answered":980,"late":5,"lost":15,
        "notRun":10,"unknown":5,"imbalance":1.1,"churnSlots":200,"unavailableMillis":5000}],
        "objectives":{"answeredInTimeShare":0.99,"inTimeMillis":250,
        "unavailableSecondsPerDay":24,"churnSlotsPerHour":400}},
       {"service":"books","windows":[],"objectives":null}]}""";

  @TempDir Path folder;

  @Test
  void ratesAreMeasuredValuesDividedByAllowedValues() {
    OperatorApi.ServiceBurn service = burn().services().get(0);
    BurnRates rates = BurnRates.of(service.windows().get(0), service.objectives().get());
    assertThat(rates.answers()).isCloseTo(2.0, within(1e-9));
    assertThat(rates.unavailable()).isCloseTo(5.0, within(1e-9));
    assertThat(rates.churn()).isCloseTo(0.5, within(1e-9));
  }

  @Test
  void htmlPageEmbedsItsPlots() throws IOException {
    Path page = folder.resolve("burn.html");
    Path token = Files.writeString(folder.resolve("token"), "secret");
    try (StubServer server = new StubServer(StubServer.Reply.of(200, BURN))) {
      ToolRun run =
          ToolRun.of(
              "burn",
              "--html",
              page.toString(),
              "--server",
              server.address(),
              "--token-file",
              token.toString());
      assertThat(run.exit()).isEqualTo(ExitCode.OK);
      assertThat(run.out()).contains("ledger").contains("2.00");
    }
    String html = Files.readString(page);
    assertThat(html).contains("data:image/png;base64,iVBOR").contains("<h2>books</h2>");
    assertThat(html).doesNotContain("http://").doesNotContain("https://");
  }

  private static OperatorApi.Burn burn() {
    return ToolJson.read(BURN, OperatorApi.Burn.class, "burn");
  }
}
