package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an exit code or a text that hides that a request would be refused. */
class RouteCommandTest {
  private static final String ANSWER =
      """
      {"route":"r","reason":"%s","routesAgeMillis":80,"ownersAgeMillis":90,"services":[
       {"service":"s","weight":1.0,"decision":"%s","target":"t-1","reason":"why","millis":40,
        "targets":[{"target":"t-1","zone":"z","state":"ready","inFlight":3,"limit":10,
                    "millisPerRequest":120,"expectedMillis":240}]}]}""";

  @ParameterizedTest
  @CsvSource({
    "'', SEND, OK, sent to t-1: why",
    "'', WAIT, OK, waits for up to 40 ms: why",
    "'', REFUSE, FAILED, 'refused, retry after 40 ms: why'",
    "the entry is stopping, SEND, FAILED, 'refused: the entry is stopping'"
  })
  void answerOfTheEntryIsShown(String reason, String decision, ExitCode exit, String text) {
    try (StubServer entry =
        new StubServer(StubServer.Reply.of(200, ANSWER.formatted(reason, decision)))) {
      ToolRun run =
          ToolRun.of("route", "--entry", entry.address(), "--key", "7", "a.example", "/a/b c");
      assertThat(run.exit()).isEqualTo(exit);
      assertThat(run.out()).contains(text).contains("t-1").contains("240");
      assertThat(entry.requests())
          .containsExactly("GET /api/route-preview?host=a.example&path=%2Fa%2Fb%20c&key=7 ");
    }
  }

  @ParameterizedTest
  @CsvSource({"400, 'host and path are needed'", "404, ''"})
  void errorOfTheEntryIsShown(int status, String body) {
    try (StubServer entry = new StubServer(StubServer.Reply.of(status, body))) {
      ToolRun run = ToolRun.of("route", "--entry", entry.address(), "a.example", "/a/");
      assertThat(run.exit()).isNotEqualTo(ExitCode.OK);
      assertThat(run.err()).contains(Integer.toString(status));
    }
  }
}
