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
record StandInOptions(
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

  static StandInOptions parse(String... arguments) {
    try {
      return of(new DefaultParser().parse(options(), arguments));
    } catch (ParseException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  private static Options options() {
    return new Options()
        .addRequiredOption(null, "id", true, "name of the target")
        .addRequiredOption(null, "service", true, "service that it offers")
        .addRequiredOption(null, "announce", true, "HTTP addresses of instances, with commas")
        .addRequiredOption(null, "executions", true, "file of executions")
        .addOption(null, "zone", true, "availability zone (default zone-a)")
        .addOption(null, "port", true, "port on loopback (default 0, any free port)")
        .addOption(null, "slots", true, "requests executed at the same time (default 2)")
        .addOption(null, "connections", true, "connections announced (default 120)")
        .addOption(null, "service-millis", true, "execution time (default 5)")
        .addOption(null, "no-fences", false, "do not check fences and grants")
        .addOption(null, "keeps-identities", false, "announce that identities are kept");
  }

  private static StandInOptions of(CommandLine line) {
    return new StandInOptions(
        line.getOptionValue("id"),
        line.getOptionValue("service"),
        line.getOptionValue("zone", "zone-a"),
        Integer.parseInt(line.getOptionValue("port", "0")),
        Arrays.stream(line.getOptionValue("announce").split(",")).map(Address::parse).toList(),
        Integer.parseInt(line.getOptionValue("slots", "2")),
        Integer.parseInt(line.getOptionValue("connections", "120")),
        Duration.ofMillis(Long.parseLong(line.getOptionValue("service-millis", "5"))),
        !line.hasOption("no-fences"),
        line.hasOption("keeps-identities"),
        Path.of(line.getOptionValue("executions")));
  }
}
