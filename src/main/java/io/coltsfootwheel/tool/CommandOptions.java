package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/**
 * Helpers for the options of subcommands, and the options to connect to the operators' interface.
 */
final class CommandOptions {
  static final String JSON = "json";

  private static final String SERVER = "server";
  private static final String TOKEN_FILE = "token-file";
  private static final String TIMEOUT_MILLIS = "timeout-millis";
  private static final String DEFAULT_SERVER = "127.0.0.1:7402";
  private static final String TOKEN_VARIABLE = "COLTSFOOTWHEEL_TOKEN_FILE";
  private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;

  private CommandOptions() {}

  static Options add(Options options) {
    return options
        .addOption(
            Option.builder()
                .longOpt(SERVER)
                .hasArg()
                .argName("IP:PORT")
                .desc("operator address, repeatable (default " + DEFAULT_SERVER + ")")
                .get())
        .addOption(
            option(
                TOKEN_FILE, "FILE", "operator token (default: the file in " + TOKEN_VARIABLE + ")"))
        .addOption(
            option(
                TIMEOUT_MILLIS,
                "N",
                "wait for a response in milliseconds (default " + DEFAULT_TIMEOUT_MILLIS + ")"));
  }

  static Option option(String name, String argumentName, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argumentName).desc(description).get();
  }

  static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  static OperatorClient client(CommandLine line) {
    String[] servers = line.getOptionValues(SERVER);
    List<Address> addresses =
        Arrays.stream(servers == null ? new String[] {DEFAULT_SERVER} : servers)
            .map(CommandOptions::address)
            .toList();
    return new OperatorClient(
        addresses,
        readToken(line),
        Duration.ofMillis(integer(line, TIMEOUT_MILLIS, DEFAULT_TIMEOUT_MILLIS, 1, 600_000)));
  }

  static Address address(String text) {
    try {
      return Address.parse(text);
    } catch (ColtsfootwheelException e) {
      throw ToolException.usage(e.getMessage());
    }
  }

  static int integer(CommandLine line, String name, int defaultValue, int minimum, int maximum) {
    String text = line.getOptionValue(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      int value = Integer.parseInt(text);
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the error that also covers numbers out of bounds.
    }
    throw ToolException.usage(
        "--" + name + " '" + text + "' is not an integer from " + minimum + " to " + maximum);
  }

  static double decimal(CommandLine line, String name, double defaultValue, double maximum) {
    String text = line.getOptionValue(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      double value = Double.parseDouble(text);
      if (value >= 0 && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the error that also covers numbers out of bounds.
    }
    throw ToolException.usage("--" + name + " '" + text + "' is not a number from 0 to " + maximum);
  }

  private static String readToken(CommandLine line) {
    String file = line.getOptionValue(TOKEN_FILE, System.getenv(TOKEN_VARIABLE));
    if (file == null) {
      throw ToolException.usage("no token; set --" + TOKEN_FILE + " or " + TOKEN_VARIABLE);
    }
    try {
      return Files.readString(Path.of(file)).strip();
    } catch (IOException e) {
      throw ToolException.usage("token file " + file + " cannot be read; check its permissions");
    }
  }
}
