package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Reports the rate at which services use up the error budgets of their objectives. */
final class BurnCommand implements Subcommand {
  private static final String HTML = "html";

  private final Options options =
      CommandOptions.add(new Options())
          .addOption(CommandOptions.flag(CommandOptions.JSON, "print the response as JSON"))
          .addOption(
              CommandOptions.option(HTML, "FILE", "write a self-contained HTML page with plots"));

  @Override
  public String name() {
    return "burn";
  }

  @Override
  public String summary() {
    return "Reports the rate at which services use up their error budgets.";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    OperatorApi.Burn burn = CommandOptions.client(line).get("/v1/burn", OperatorApi.Burn.class);
    BurnReport report = new BurnReport(burn);
    if (line.hasOption(HTML)) {
      writeHtml(Path.of(line.getOptionValue(HTML)), report);
    }
    boolean json = line.hasOption(CommandOptions.JSON);
    console.out().println(json ? ToolJson.toPrettyJson(burn) : report.text());
    return ExitCode.OK;
  }

  private static void writeHtml(Path file, BurnReport report) {
    // Lets AWT render the plots to memory on a machine without a display.
    System.setProperty("java.awt.headless", "true");
    try {
      Files.writeString(file, report.html());
    } catch (IOException e) {
      throw ToolException.of(ExitCode.FAILED, file + " cannot be written: " + e);
    }
  }
}
