package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.PlanName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that invalid lists files are rejected and that all their faults are reported. */
class ListsFileReaderTest {
  private static final String PLANS = "[plans]\nsalon = \"standard\"\n";
  private static final String ALLOWANCES =
      """
      [allowances.standard]
      rate-per-second = 50
      burst = 20
      concurrency = 8
      services = ["ledger"]
      """;

  @TempDir Path folder;

  @Test
  void validFilesAreReadAndWrittenBackUnchanged() throws IOException {
    ListContents lists = read(PLANS, ALLOWANCES);
    assertThat(lists.plans()).containsEntry(CustomerId.of("salon"), PlanName.of("standard"));
    assertThat(read(lists.plansToml(), lists.allowancesToml())).isEqualTo(lists);
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "salon =|salon = 3 #|plans.toml: plans.salon|not the name of a plan",
        "\"standard\"|\"gold\"|plans.toml: plans.salon|has no allowance",
        "\"standard\"|\"a b\"|plans.toml: plans.salon|is not 1 to 63",
        "salon =|\"a b\" =|plans.toml: plans.a b|is not 1 to 63",
        "salon =|= =|plans.toml: line 2|",
        "[plans]|[plan]|plans.toml: plan:|is not known",
        "rate-per-second = 50|rate-per-minute = 50|standard.rate-per-minute|is not known",
        "rate-per-second = 50|rate-per-second = 0|standard.rate-per-second|not a number above 0",
        "burst = 20|burst = 2.5|standard.burst|not an integer",
        "burst = 20|burst = -1|standard.burst|not an integer from 0",
        "burst = 20||standard.burst|a missing value",
        "concurrency = 8|concurrency = 0|standard.concurrency|not an integer from 1",
        "[\"ledger\"]|[]|standard.services|at least one service",
        "[\"ledger\"]|[\"ledger\", 5]|standard.services|5 is not the name of a service in quotes",
        "[\"ledger\"]|[\"ledger\", true]|standard.services|true is not the name of a service in quotes",
        "[\"ledger\"]|[\"ledger\", 1.5]|standard.services|1.5 is not the name of a service in quotes",
        "[\"ledger\"]|[\"ledger\", \"ledger\"]|standard.services|is repeated",
        "[allowances.standard]|[plans]|allowances.toml: plans|is also in",
      })
  void eachFaultIsReported(String original, String substitute, String location, String fault)
      throws IOException {
    String replacement = substitute == null ? "" : substitute;
    ToolException exception =
        catchThrowableOfType(
            ToolException.class,
            () ->
                read(
                    PLANS.replace(original, replacement),
                    ALLOWANCES.replace(original, replacement)));
    assertThat(exception.exitCode()).isEqualTo(ExitCode.FAILED);
    assertThat(exception.getMessage().lines())
        .anySatisfy(
            line -> assertThat(line).contains(location).contains(fault == null ? "" : fault));
  }

  @Test
  void allFaultsOfBothFilesAreReportedAtOnce() {
    ToolException exception =
        catchThrowableOfType(
            ToolException.class,
            () ->
                read(
                    PLANS.replace("\"standard\"", "1"),
                    ALLOWANCES.replace("= 20", "= -1").replace("= 8", "= 0")));
    assertThat(exception.getMessage().lines()).hasSize(3);
  }

  @Test
  void missingListIsRejected() throws IOException {
    Path plans = Files.writeString(folder.resolve("plans.toml"), PLANS);
    ToolException exception =
        catchThrowableOfType(ToolException.class, () -> ListsFileReader.read(List.of(plans)));
    assertThat(exception.getMessage()).contains("allowances: no file has it");
  }

  private ListContents read(String plans, String allowances) throws IOException {
    return ListsFileReader.read(
        List.of(
            Files.writeString(folder.resolve("plans.toml"), plans),
            Files.writeString(folder.resolve("allowances.toml"), allowances)));
  }
}
