package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a change that is applied twice, lost without an error, or overwrites the change of
 * another operator.
 */
class ListsCommandTest {
  private static final String EMPTY_LISTS = "{\"revision\":0,\"plans\":{},\"allowances\":{}}";
  private static final String OTHER_LISTS =
      """
      {"revision":57,"plans":{"kiosk":"basic"},"allowances":{"basic":
       {"ratePerSecond":1.0,"burst":1,"concurrency":1,"services":["ledger"]}}}""";

  @TempDir Path folder;
  private Path plans;
  private Path allowances;
  private Path token;

  @BeforeEach
  void writeFiles() throws IOException {
    plans = Files.writeString(folder.resolve("plans.toml"), "[plans]\nsalon = \"standard\"\n");
    allowances =
        Files.writeString(
            folder.resolve("allowances.toml"),
            "[allowances.standard]\nrate-per-second = 5\nburst = 2\nconcurrency = 1\n"
                + "services = [\"ledger\"]\n");
    token = Files.writeString(folder.resolve("token"), "secret");
  }

  @Test
  void resendAfterLostResponseKeepsIdentity() {
    try (StubServer server =
        new StubServer(
            reply(EMPTY_LISTS), reply(0, ""), reply(EMPTY_LISTS), reply("{\"revision\":4}"))) {
      assertThat(apply(server).exit()).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
      assertThat(apply(server).exit()).isEqualTo(ExitCode.OK);
      assertThat(changeIds(server)).hasSize(2);
      assertThat(changeIds(server).get(0)).isEqualTo(changeIds(server).get(1));
    }
  }

  @Test
  void changedFilesOrAnsweredChangeGetNewIdentity() throws IOException {
    try (StubServer server =
        new StubServer(
            reply(EMPTY_LISTS),
            reply(0, ""),
            reply(EMPTY_LISTS),
            reply("{\"revision\":4}"),
            reply(EMPTY_LISTS),
            reply("{\"revision\":5}"))) {
      apply(server);
      Files.writeString(plans, "[plans]\nkiosk = \"standard\"\n");
      apply(server);
      apply(server);
      assertThat(changeIds(server)).hasSize(3).doesNotHaveDuplicates();
      assertThat(server.requests().get(5)).contains("\"baseRevision\":4");
    }
  }

  @Test
  void conflictShowsDifferenceAndNextCommand() {
    try (StubServer server =
        new StubServer(
            reply(EMPTY_LISTS),
            reply(409, OTHER_LISTS),
            reply(OTHER_LISTS),
            reply("{\"revision\":9}"))) {
      ToolRun conflict = apply(server);
      assertThat(conflict.exit()).isEqualTo(ExitCode.CONFLICT);
      assertThat(conflict.err())
          .contains("- plan of customer kiosk: basic")
          .contains("+ plan of customer salon: standard")
          .contains("lists apply --base-revision 57 " + plans + " " + allowances);
      assertThat(apply(server, "--base-revision", "57").exit()).isEqualTo(ExitCode.OK);
      assertThat(server.requests().get(3)).contains("\"baseRevision\":57");
    }
  }

  @Test
  void waitEndsWhenNoInstanceIsBehind() {
    String behind = "{\"revision\":4,\"instances\":[],\"behind\":[\"b\"]}";
    String upToDate = "{\"revision\":4,\"instances\":[],\"behind\":[]}";
    try (StubServer server =
        new StubServer(
            reply(EMPTY_LISTS), reply("{\"revision\":4}"), reply(behind), reply(upToDate))) {
      assertThat(apply(server, "--wait").exit()).isEqualTo(ExitCode.OK);
      assertThat(server.requests()).hasSize(4).last().asString().contains("applied?revision=4");
    }
  }

  @Test
  void waitReportsInstancesThatStayBehind() {
    String behind = "{\"revision\":4,\"instances\":[],\"behind\":[\"daemon-3\"]}";
    try (StubServer server =
        new StubServer(reply(EMPTY_LISTS), reply("{\"revision\":4}"), reply(behind))) {
      ToolRun run = apply(server, "--wait", "--wait-seconds", "1");
      assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
      assertThat(run.err()).contains("behind revision 4: daemon-3");
    }
  }

  @Test
  void shownListsCanBeAppliedOnTheirRevision() {
    Path written = folder.resolve("written");
    try (StubServer server =
        new StubServer(reply(OTHER_LISTS), reply(EMPTY_LISTS), reply("{\"revision\":58}"))) {
      assertThat(run(server, "lists", "show", "--write", written.toString()).exit())
          .isEqualTo(ExitCode.OK);
      ToolRun applied =
          run(
              server,
              "lists",
              "apply",
              written.resolve("plans.toml").toString(),
              written.resolve("allowances.toml").toString());
      assertThat(applied.err()).contains("+ plan of customer kiosk: basic");
      assertThat(server.requests().get(2)).contains("\"baseRevision\":57");
    }
  }

  /** Guards against a new revision for each repetition of a command that changes nothing. */
  @Test
  void listsInForceAreNotAppliedAgain() {
    Path written = folder.resolve("written");
    try (StubServer server = new StubServer(reply(OTHER_LISTS))) {
      run(server, "lists", "show", "--write", written.toString());
      String plansFile = written.resolve("plans.toml").toString();
      String allowancesFile = written.resolve("allowances.toml").toString();
      ToolRun applied = run(server, "lists", "apply", plansFile, allowancesFile);
      assertThat(applied.exit()).isEqualTo(ExitCode.OK);
      assertThat(applied.out()).contains("revision 57 is in force already");
      assertThat(changeIds(server)).isEmpty();
    }
  }

  /**
   * Guards against printing the difference to standard error, which leaves a redirected file empty.
   */
  @Test
  void diffPrintsTheDifferenceAsItsResult() {
    try (StubServer server = new StubServer(reply(OTHER_LISTS))) {
      ToolRun run = run(server, "lists", "diff", plans.toString(), allowances.toString());
      assertThat(run.out()).contains("- plan of customer kiosk: basic");
      assertThat(run.err()).isEmpty();
    }
  }

  private ToolRun apply(StubServer server, String... moreArguments) {
    List<String> arguments =
        new java.util.ArrayList<>(
            List.of("lists", "apply", plans.toString(), allowances.toString()));
    arguments.addAll(List.of(moreArguments));
    return run(server, arguments.toArray(String[]::new));
  }

  private ToolRun run(StubServer server, String... arguments) {
    List<String> allArguments = new java.util.ArrayList<>(List.of(arguments));
    allArguments.addAll(List.of("--server", server.address(), "--token-file", token.toString()));
    return ToolRun.of(allArguments.toArray(String[]::new));
  }

  private static List<String> changeIds(StubServer server) {
    return server.requests().stream()
        .filter(request -> request.startsWith("POST "))
        .map(request -> request.replaceAll(".*\"changeId\":\"([^\"]*)\".*", "$1"))
        .toList();
  }

  private static StubServer.Reply reply(String body) {
    return StubServer.Reply.of(200, body);
  }

  private static StubServer.Reply reply(int status, String body) {
    return StubServer.Reply.of(status, body);
  }
}
