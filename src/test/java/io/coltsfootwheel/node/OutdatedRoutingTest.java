package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.relay.ProtocolHeaderNames;
import io.coltsfootwheel.relay.Relay;
import io.coltsfootwheel.relay.RelaySettings;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.ServicePolicy;
import io.coltsfootwheel.routing.WeightedService;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Hooks;

/** Tests an entry over sockets whose leader's changes do not reach it in time. */
@Timeout(60)
class OutdatedRoutingTest {
  private static final ServiceName SERVICE = ServiceName.of("any");
  private static final String ENTRY_HOST = "127.0.0.1";
  private static final String LEADER_HOST = "127.0.0.2";
  private static final String MEMBER_HOST = "127.0.0.3";
  private static final ProtocolHeaderNames HEADER_NAMES =
      new ProtocolHeaderNames(
          "id", "deadline", "key", "expected", "signature", "rejected", "leaving", "load");

  /** Time after its confirmation within which a change is in force; the drain time is the same. */
  private static final long APPLY_MILLIS = 2_000;

  private static final long LATE_ANSWER_MILLIS = 3_000;

  /** What keeps a change from an entry that the leader answers all the while. */
  private enum Fault {
    LATE_MESSAGES {
      @Override
      void begin(StandInLeader leader) {
        leader.delayAnswers(LATE_ANSWER_MILLIS);
      }
    },
    LOST_CONFIGURATION {
      @Override
      void begin(StandInLeader leader) {
        leader.loseConfigurations();
      }
    };

    /** Begins the fault before the change. */
    abstract void begin(StandInLeader leader);
  }

  private final EventLog log = new EventLog(line -> {}, Map.of());
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicInteger receivedByTarget = new AtomicInteger();
  private HttpServer target;
  private StandInLeader leader;
  private Relay relay;
  private EntryNodeSettings entrySettings;
  private EntryNode entry;
  private int clientPort;

  @BeforeEach
  void start() throws Exception {
    target = HttpServer.create(new InetSocketAddress(ENTRY_HOST, 0), 0);
    target.createContext(
        "/",
        exchange -> {
          receivedByTarget.incrementAndGet();
          exchange.getResponseHeaders().set("id", exchange.getRequestHeaders().getFirst("id"));
          exchange.getResponseHeaders().set("signature", "s");
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    target.start();
    clientPort = freePort(ENTRY_HOST);
    Address entryLink = new Address(ENTRY_HOST, freePort(ENTRY_HOST));
    Address leaderLink = new Address(LEADER_HOST, freePort(LEADER_HOST));
    leader = new StandInLeader(leaderLink, entryLink, configuration(1, "old"), view(), log);
    relay = new Relay(relaySettings(), log, new SimpleMeterRegistry());
    entrySettings =
        new EntryNodeSettings(
            "test", entryLink, leaderLink.port(), List.of(InstanceId.of(LEADER_HOST)), 100);
    entry = new EntryNode(entrySettings, relay, log);
    entry.start();
    while (statusOf("old") != 200) {
      Thread.sleep(20);
    }
  }

  @AfterEach
  void stop() throws InterruptedException {
    entry.close();
    leader.close();
    target.stop(0);
    log.close();
  }

  private RelaySettings relaySettings() {
    return new RelaySettings(
        new Address(ENTRY_HOST, clientPort),
        AvailabilityZone.of("z"),
        HEADER_NAMES,
        APPLY_MILLIS,
        1,
        100,
        10_000,
        1);
  }

  private static int freePort(String host) throws IOException {
    try (ServerSocket probe = new ServerSocket()) {
      probe.bind(new InetSocketAddress(host, 0));
      return probe.getLocalPort();
    }
  }

  private static Configuration configuration(long version, String... routeNames) {
    List<ConfigurationItem> items = new ArrayList<>();
    items.add(ConfigurationItem.of(new ServicePolicy(SERVICE, false, 20), "{}"));
    for (String name : routeNames) {
      items.add(ConfigurationItem.of(route(name, ENTRY_HOST), "{}"));
    }
    return new Configuration(version, items, List.of());
  }

  private static Route route(String name, String host) {
    return new Route(
        name,
        host,
        "/" + name + "/",
        RouteKind.SAFE,
        10_000,
        10_000,
        1,
        2,
        List.of(new WeightedService(SERVICE, 1)));
  }

  private OwnershipView view() {
    return new OwnershipView(
        List.of(
            new OwnershipView.Target(
                TargetId.of("a"),
                SERVICE,
                new Address(ENTRY_HOST, target.getAddress().getPort()),
                AvailabilityZone.of("z"),
                2,
                TargetPhase.READY,
                1)),
        List.of());
  }

  private int statusOf(String route) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + clientPort + "/" + route + "/1"))
            .header("id", "r-" + System.nanoTime())
            .header("deadline", "5000")
            .build();
    return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
  }

  private void assertOldRouteIsRefused() throws IOException, InterruptedException {
    int receivedBefore = receivedByTarget.get();
    assertThat(statusOf("old")).isEqualTo(503);
    assertThat(receivedByTarget).hasValue(receivedBefore);
  }

  /** Lets the leader confirm a change that does not reach the entry, and waits for its bound. */
  private void changeUnnoticed(Fault fault, Configuration configuration, OwnershipView view)
      throws InterruptedException {
    fault.begin(leader);
    // Answers of before the change go on arriving until the bound, as on a full link.
    Thread.sleep(LATE_ANSWER_MILLIS - APPLY_MILLIS / 2);
    leader.change(configuration, view);
    Thread.sleep(APPLY_MILLIS);
    leader.awaitNextAnswer();
  }

  /** Guards against a 404 for a route that was added more than the bound of a change ago. */
  @ParameterizedTest
  @EnumSource
  void addedRouteIsNotRefusedAsUnknown(Fault fault) throws Exception {
    changeUnnoticed(fault, configuration(2, "old", "new"), view());
    assertThat(statusOf("new")).isEqualTo(503);
  }

  /** Guards against requests by a route that was dropped more than the bound of a change ago. */
  @ParameterizedTest
  @EnumSource
  void droppedRouteIsNotUsed(Fault fault) throws Exception {
    changeUnnoticed(fault, configuration(2, "new"), view());
    int receivedBefore = receivedByTarget.get();
    assertThat(statusOf("old")).isNotEqualTo(200);
    assertThat(receivedByTarget).hasValue(receivedBefore);
  }

  /** Guards against requests to a target that left more than its drain time ago. */
  @Test
  void targetThatHasLeftReceivesNothing() throws Exception {
    changeUnnoticed(Fault.LATE_MESSAGES, configuration(1, "old"), OwnershipView.empty());
    assertOldRouteIsRefused();
  }

  /**
   * Guards against requests by old routes when the leader falls silent after it has named newer
   * ones, as it seems to while a large configuration fills the link of the entry.
   */
  @Test
  void silenceAfterNewsOfNewerRoutesEndsTheUseOfOldOnes() throws Exception {
    leader.loseConfigurations();
    leader.change(configuration(2, "new"), view());
    leader.awaitNextAnswer();
    leader.awaitNextAnswer();
    leader.fallSilent();
    Thread.sleep(APPLY_MILLIS);
    assertOldRouteIsRefused();
  }

  /**
   * Load: answers that wait on a full link, until none arrives for a while. Guards against requests
   * by old routes because an entry takes the delay of its own link for the loss of the leader.
   */
  @Test
  void silenceAfterLateAnswersEndsTheUseOfOldRoutes() throws Exception {
    leader.delayAnswers(APPLY_MILLIS / 2);
    Thread.sleep(APPLY_MILLIS);
    assertThat(statusOf("old")).isEqualTo(200);
    leader.fallSilent();
    leader.change(configuration(2, "new"), view());
    Thread.sleep(APPLY_MILLIS);
    assertOldRouteIsRefused();
  }

  /**
   * Guards against requests by old routes while the entry does not hear the leader, and other
   * control processes do.
   */
  @Test
  void silenceOfALeaderInOfficeEndsTheUseOfOldRoutes() throws Exception {
    Address member = new Address(MEMBER_HOST, entrySettings.memberPort());
    try (StandInMember ignored =
        new StandInMember(member, entrySettings.linkAddress(), InstanceId.of(LEADER_HOST), log)) {
      entry.addSeeds(List.of(InstanceId.of(MEMBER_HOST)));
      leader.fallSilent();
      leader.change(configuration(2, "new"), view());
      Thread.sleep(APPLY_MILLIS);
      assertOldRouteIsRefused();
    }
  }

  /** Guards against an entry that refuses everything when there is no leader. */
  @Test
  void lossOfTheLeaderLeavesRoutesInUse() throws Exception {
    leader.fallSilent();
    Thread.sleep(APPLY_MILLIS);
    assertThat(statusOf("old")).isEqualTo(200);
  }

  /**
   * Guards against an entry that takes routes for the newest after it has failed to apply them, and
   * serves the old ones for good.
   */
  @Test
  void routesThatCouldNotBeAppliedAreRequestedAgain() throws Exception {
    ConfigurationItem withoutHost = ConfigurationItem.of(route("new", null), "{}");
    leader.change(new Configuration(2, List.of(withoutHost), List.of()), view());
    leader.awaitNextAnswer();
    Thread.sleep(APPLY_MILLIS);
    assertThat(statusOf("old")).isEqualTo(503);
    leader.change(configuration(3, "new"), view());
    while (statusOf("new") != 200) {
      leader.awaitNextAnswer();
    }
  }

  /** What a subscription of the entry may end with. */
  private enum SubscriptionFailure {
    EXCEPTION {
      @Override
      void raise() {
        throw new IllegalStateException("for the test");
      }
    },
    ERROR {
      @Override
      void raise() {
        throw new StackOverflowError();
      }
    };

    abstract void raise();
  }

  /** Guards against an entry that serves old routes for good after one subscription has failed. */
  @ParameterizedTest
  @EnumSource
  void subscriptionsGoOnAfterOneHasFailed(SubscriptionFailure failure) throws Exception {
    CountDownLatch failed = new CountDownLatch(1);
    Hooks.onEachOperator(
        publisher -> {
          if (Thread.currentThread().getName().startsWith("relay") && failed.getCount() > 0) {
            failed.countDown();
            failure.raise();
          }
          return publisher;
        });
    try {
      failed.await();
    } finally {
      Hooks.resetOnEachOperator();
    }
    leader.change(configuration(2, "new"), view());
    while (statusOf("new") != 200) {
      leader.awaitNextAnswer();
    }
  }
}
