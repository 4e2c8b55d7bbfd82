package io.coltsfootwheel.tool;

import io.coltsfootwheel.settings.SettingsException;
import io.coltsfootwheel.settings.SettingsFile;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Validates the settings file of a daemon. */
final class CheckConfigCommand implements Subcommand {
  private final Options options =
      new Options().addOption(CommandOptions.flag(CommandOptions.JSON, "print the faults as JSON"));

  @Override
  public String name() {
    return "check-config";
  }

  @Override
  public String summary() {
    return "Checks a daemon's settings file and reports every fault.";
  }

  @Override
  public String arguments() {
    return "FILE";
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    if (line.getArgList().size() != 1) {
      throw ToolException.usage("check-config takes one FILE");
    }
    String file = line.getArgList().get(0);
    boolean json = line.hasOption(CommandOptions.JSON);
    try {
      SettingsFile.read(Path.of(file));
      console.out().println(json ? "[]" : file + " is valid");
      return ExitCode.OK;
    } catch (SettingsException e) {
      if (json) {
        console.out().println(ToolJson.toPrettyJson(e.faults()));
      } else {
        console.err().println(e.getMessage());
      }
      return ExitCode.FAILED;
    }
  }
}
