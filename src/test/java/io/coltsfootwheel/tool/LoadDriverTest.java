package io.coltsfootwheel.tool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.coltsfootwheel.model.Address;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a driver that reports another result than it received, or resends unasked. */
class LoadDriverTest {
  private static final String ERROR = "{\"code\":\"overloaded\",\"message\":\"\",\"remedy\":\"\"}";

  @ParameterizedTest
  @CsvSource({
    "200, Coltsfootwheel-Target, t1, ANSWERED",
    "500, Coltsfootwheel-Target, t1, ANSWERED",
    "503, Coltsfootwheel-Outcome, not-run, LOST_NOT_RUN",
    "409, Coltsfootwheel-Outcome, run, LOST_RUN",
    "502, Coltsfootwheel-Outcome, unknown, LOST_UNKNOWN",
    "200, Other, x, LOST_UNKNOWN",
    "0, Other, x, LOST_UNKNOWN",
  })
  void resultDependsOnResponse(int status, String header, String value, LoadResult expected)
      throws InterruptedException {
    StubServer.Reply reply = new StubServer.Reply(status, Map.of(header, value), ERROR);
    try (StubServer server = new StubServer(reply)) {
      List<RequestRecord> records = new LoadDriver(plan(server.address(), 3, 0, 0)).run();
      assertThat(records).hasSize(3).allMatch(record -> record.result() == expected);
      assertThat(server.requests()).hasSize(3);
    }
  }

  @Test
  void notRunIsResentAtMostAsOftenAsPlanned() throws InterruptedException {
    StubServer.Reply rejection =
        new StubServer.Reply(503, Map.of("Coltsfootwheel-Outcome", "not-run"), ERROR);
    try (StubServer server = new StubServer(rejection)) {
      List<RequestRecord> records = new LoadDriver(plan(server.address(), 1, 0, 2)).run();
      assertThat(records.get(0).sends()).isEqualTo(3);
      assertThat(records.get(0).code()).isEqualTo("overloaded");
      assertThat(server.requests()).hasSize(3);
    }
  }

  /** Guards against resends after the deadline, which extend the run beyond its last request. */
  @Test
  void resendsEndAtTheDeadline() throws InterruptedException {
    StubServer.Reply rejection =
        new StubServer.Reply(503, Map.of("Coltsfootwheel-Outcome", "not-run"), ERROR);
    try (StubServer server = new StubServer(rejection)) {
      LoadPlan plan = plan(server.address(), 1, 0, 1_000, 300);
      RequestRecord record = new LoadDriver(plan).run().get(0);
      assertThat(record.result()).isEqualTo(LoadResult.LOST_NOT_RUN);
      assertThat(record.sends()).isLessThan(1_000);
    }
  }

  /**
   * Guards against a request that is reported as unknown although it was never sent. The port stays
   * bound, so that no other process listens on it meanwhile.
   */
  @Test
  void refusedConnectionWasNotRun() throws Exception {
    try (Socket bound = new Socket()) {
      bound.bind(new InetSocketAddress("127.0.0.1", 0));
      String refusing = "127.0.0.1:" + bound.getLocalPort();
      assertThat(new LoadDriver(plan(refusing, 1, 0, 0)).run().get(0).result())
          .isEqualTo(LoadResult.LOST_NOT_RUN);
    }
  }

  @Test
  void identityStartsWithLastStamp() throws InterruptedException {
    Map<String, String> headers =
        Map.of("Coltsfootwheel-Stamp", "17.mac", "Coltsfootwheel-Target", "t1");
    try (StubServer server = new StubServer(new StubServer.Reply(200, headers, ""))) {
      List<RequestRecord> records = new LoadDriver(plan(server.address(), 2, 1, 0)).run();
      assertThat(records)
          .extracting(RequestRecord::identity)
          .containsExactly("17.mac:run-0", "17.mac:run-1");
    }
  }

  @Test
  void equalSeedsGenerateEqualRequests() {
    LoadPlan plan = plan("127.0.0.1:1", 50, 0.5, 0);
    LoadSchedule schedule = new LoadSchedule(plan);
    LoadSchedule sameSchedule = new LoadSchedule(plan);
    IntStream.range(0, 50)
        .forEach(
            number ->
                assertThat(schedule.next(number, "s")).isEqualTo(sameSchedule.next(number, "s")));
  }

  @Test
  void dueTimesFollowTheRate() {
    LoadPlan plan = plan("127.0.0.1:1", 200, 0, 0);
    assertThat(plan.dueNanos(0)).isZero();
    assertThat(plan.dueNanos(100)).isEqualTo(500_000_000L);
    assertThat(plan.totalRequests()).isEqualTo(200);
  }

  @ParameterizedTest
  @CsvSource({"0, 0.1", "1, 0.3414"})
  void mostFrequentOfTenKeysHasItsShare(double exponent, double share) {
    KeyChooser keyChooser = KeyChooser.of(10, exponent);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(7L);
    long keyZeroCount =
        IntStream.range(0, 100_000).filter(i -> keyChooser.next(random) == 0).count();
    assertThat(keyZeroCount / 100_000.0).isCloseTo(share, within(0.01));
  }

  private static LoadPlan plan(String entry, int rate, double nonIdempotentShare, int resends) {
    return plan(entry, rate, nonIdempotentShare, resends, 5_000);
  }

  private static LoadPlan plan(
      String entry, int rate, double nonIdempotentShare, int resends, int deadlineMillis) {
    return new LoadPlan(
        List.of(Address.parse(entry)),
        "ledger",
        "",
        0,
        rate,
        1,
        10,
        0,
        nonIdempotentShare,
        deadlineMillis,
        5_000,
        resends,
        1,
        "run",
        "");
  }
}
