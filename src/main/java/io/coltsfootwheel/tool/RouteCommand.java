package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.RoutePreview;
import io.coltsfootwheel.model.Address;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Asks an entry where a request would go now, and why; nothing is sent to a target. */
final class RouteCommand implements Subcommand {
  private static final String ENTRY = "entry";
  private static final String KEY = "key";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final Options options =
      new Options()
          .addOption(CommandOptions.option(ENTRY, "IP:PORT", "readiness address of an entry"))
          .addOption(CommandOptions.option(KEY, "N", "key of the request"))
          .addOption(CommandOptions.flag(CommandOptions.JSON, "print the answer as JSON"));

  @Override
  public String name() {
    return "route";
  }

  @Override
  public String summary() {
    return "Shows where an entry would send a request now, and why, without sending it.";
  }

  @Override
  public String arguments() {
    return "--entry IP:PORT HOST PATH";
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    List<String> arguments = line.getArgList();
    if (!line.hasOption(ENTRY) || arguments.size() != 2) {
      throw ToolException.usage("route takes --entry IP:PORT, HOST and PATH");
    }
    QueryStringEncoder query = new QueryStringEncoder(RoutePreview.PATH);
    query.addParam(RoutePreview.HOST_PARAMETER, arguments.get(0));
    query.addParam(RoutePreview.PATH_PARAMETER, arguments.get(1));
    query.addParam(RoutePreview.KEY_PARAMETER, line.getOptionValue(KEY, ""));
    Address entry = CommandOptions.address(line.getOptionValue(ENTRY));
    RoutePreview preview =
        new OperatorClient(List.of(entry), "", TIMEOUT).get(query.toString(), RoutePreview.class);
    console
        .out()
        .println(
            line.hasOption(CommandOptions.JSON) ? ToolJson.toPrettyJson(preview) : text(preview));
    return isServed(preview) ? ExitCode.OK : ExitCode.FAILED;
  }

  private static boolean isServed(RoutePreview preview) {
    return preview.reason().isEmpty()
        && preview.services().stream().anyMatch(s -> s.decision() != RoutePreview.Decision.REFUSE);
  }

  private static String text(RoutePreview preview) {
    StringBuilder text = new StringBuilder();
    text.append("route ").append(preview.route().isEmpty() ? "-" : preview.route());
    text.append(", routes confirmed %d ms ago".formatted(preview.routesAgeMillis()));
    text.append(", owners %d ms ago%n".formatted(preview.ownersAgeMillis()));
    if (!preview.reason().isEmpty()) {
      text.append("refused: ").append(preview.reason()).append(System.lineSeparator());
    }
    preview.services().forEach(service -> text.append(text(service)));
    return text.toString().stripTrailing();
  }

  private static String text(RoutePreview.ServicePreview service) {
    String decision =
        switch (service.decision()) {
          case SEND -> "sent to " + service.target() + ": " + service.reason();
          case WAIT -> "waits for up to %d ms: %s".formatted(service.millis(), service.reason());
          case REFUSE ->
              "refused, retry after %d ms: %s".formatted(service.millis(), service.reason());
        };
    TextTable table =
        TextTable.of("TARGET", "ZONE", "STATE", "IN FLIGHT", "LIMIT", "MS/REQUEST", "EXPECTED MS");
    service
        .targets()
        .forEach(
            t ->
                table.row(
                    t.target(),
                    t.zone(),
                    t.state(),
                    t.inFlight(),
                    t.limit(),
                    t.millisPerRequest(),
                    t.expectedMillis()));
    return "service %s (weight %.4g): %s%n%s%n"
        .formatted(service.service(), service.weight(), decision, table);
  }
}
