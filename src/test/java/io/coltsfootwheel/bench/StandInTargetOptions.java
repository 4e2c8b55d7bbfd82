package io.coltsfootwheel.bench;

import io.coltsfootwheel.model.Address;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command line of a stand-in target. */
record StandInTargetOptions(
    String id,
    String service,
    String zone,
    int port,
    List<Address> announce,
    int slots,
    int connections,
    Duration serviceTime,
    boolean checksFences,
    boolean keepsIdentities,
    Path executions) {

  static StandInTargetOptions parse(String... arguments) {
    try {
      return of(new DefaultParser().parse(options(), arguments));
    } catch (ParseException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  private static Options options() {
    return new Options()
        .addRequiredOption(null, "id", true, "name of the target")
        .addRequiredOption(null, "service", true, "service of the target")
        .addRequiredOption(
            null,
            "announce",
            true,
            "HTTP addresses of the instances to announce the target to, separated by commas")
        .addRequiredOption(null, "executions", true, "file to which executions are appended")
        .addOption(null, "zone", true, "availability zone (default zone-a)")
        .addOption(null, "port", true, "port on loopback (default 0, any free port)")
        .addOption(null, "slots", true, "requests executed at the same time (default 2)")
        .addOption(
            null, "connections", true, "announced maximum number of connections (default 120)")
        .addOption(null, "service-millis", true, "execution time (default 5)")
        .addOption(null, "no-fences", false, "do not check fences and grants")
        .addOption(
            null,
            "keeps-identities",
            false,
            "execute each request identity at most once, and announce it");
  }

  private static StandInTargetOptions of(CommandLine commandLine) {
    return new StandInTargetOptions(
        commandLine.getOptionValue("id"),
        commandLine.getOptionValue("service"),
        commandLine.getOptionValue("zone", "zone-a"),
        Integer.parseInt(commandLine.getOptionValue("port", "0")),
        Arrays.stream(commandLine.getOptionValue("announce").split(","))
            .map(Address::parse)
            .toList(),
        Integer.parseInt(commandLine.getOptionValue("slots", "2")),
        Integer.parseInt(commandLine.getOptionValue("connections", "120")),
        Duration.ofMillis(Long.parseLong(commandLine.getOptionValue("service-millis", "5"))),
        !commandLine.hasOption("no-fences"),
        commandLine.hasOption("keeps-identities"),
        Path.of(commandLine.getOptionValue("executions")));
  }
}
