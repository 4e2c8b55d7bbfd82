package io.coltsfootwheel.tool;

import io.coltsfootwheel.api.OperatorApi;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Shows the members of the control group or removes one of them. */
final class MembersCommand implements Subcommand {
  private static final String REMOVE = "remove";

  private final Options options =
      CommandOptions.add(new Options())
          .addOption(CommandOptions.flag(CommandOptions.JSON, "print the response as JSON"));

  @Override
  public String name() {
    return "members";
  }

  @Override
  public String summary() {
    return "Shows the members of the control group or removes one.";
  }

  @Override
  public String arguments() {
    return "[remove INSTANCE]";
  }

  @Override
  public List<String> actions() {
    return List.of(REMOVE);
  }

  @Override
  public Options options() {
    return options;
  }

  @Override
  public ExitCode run(CommandLine line, Console console) {
    List<String> arguments = line.getArgList();
    OperatorClient client = CommandOptions.client(line);
    if (arguments.isEmpty()) {
      OperatorApi.Members members = client.get("/v1/members", OperatorApi.Members.class);
      boolean json = line.hasOption(CommandOptions.JSON);
      console.out().println(json ? ToolJson.toPrettyJson(members) : TextRenderer.members(members));
      return ExitCode.OK;
    }
    if (arguments.size() != 2 || !arguments.get(0).equals(REMOVE)) {
      throw ToolException.usage("members takes no argument or 'remove INSTANCE'");
    }
    InstanceId instance = parse(arguments.get(1));
    OperatorClient.requireSuccess(client.post("/v1/members/" + instance + "/remove", ""));
    console.out().println(instance + " is removed from the control group");
    return ExitCode.OK;
  }

  private static InstanceId parse(String text) {
    try {
      return InstanceId.of(text);
    } catch (ColtsfootwheelException e) {
      throw ToolException.usage(e.getMessage());
    }
  }
}
