package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.KeyRange;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.Route;
import io.coltsfootwheel.routing.RouteKind;
import io.coltsfootwheel.routing.WeightedService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a leader sends to many entries at once, at the size of a large configuration. */
class LargeConfigurationTest {
  private static final int ENTRIES = 84;
  private static final int TARGETS = 306;
  private static final int RANGES = 1_000;
  private static final int ROUTES = 1_400;
  private static final int KEYS = 65_536;
  private static final ServiceName SERVICE = ServiceName.of("leka71a");

  /** Smallest link of a control process, 170 Mbit/s. */
  private static final long LINK_BYTES_PER_SECOND = 170_000_000 / 8;

  /** Shortest time without a heartbeat after which members elect another leader. */
  private static final long ELECTION_TIMEOUT_MILLIS = 350;

  private static final int LARGE_BYTES = 4_096;
  private static final long MAX_BYTES = LINK_BYTES_PER_SECOND * ELECTION_TIMEOUT_MILLIS / 1_000;

  private final Random random = new Random(1);
  private final List<NodeMessage> sent = new ArrayList<>();
  private final List<InstanceId> entries =
      IntStream.range(0, ENTRIES).mapToObj(i -> InstanceId.of("10.9.0." + i)).toList();
  private final EntryUpdates updates = new EntryUpdates(0, 1, new RecordingActions(sent), view());

  private Configuration configuration(long version, int routes) {
    List<ConfigurationItem> items = new ArrayList<>();
    for (int i = 0; i < routes; i++) {
      String name = "r-" + Long.toString(random.nextLong() & 0xffffffffffL, 36);
      String host = Integer.toString(random.nextInt(1_000_000), 36) + ".example";
      String path = "/" + Integer.toString(random.nextInt(1_000_000), 36) + "/";
      Route route =
          new Route(
              name,
              host,
              path,
              RouteKind.SAFE,
              4_000,
              1_200,
              2,
              2,
              List.of(new WeightedService(SERVICE, 1)));
      String document =
          "{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"%s\"},\"spec\":{\"hostname\":\"%s\","
              + "\"pathPrefix\":\"%s\",\"kind\":\"safe\",\"timeoutMs\":4000,\"targetLatencyMs\":1200,"
              + "\"priority\":2,\"service\":\"leka71a\",\"maxAttempts\":2}}";
      items.add(ConfigurationItem.of(route, document.formatted(name, host, path)));
    }
    return new Configuration(version, items, List.of());
  }

  private OwnershipView view() {
    List<OwnershipView.Target> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(
          new OwnershipView.Target(
              TargetId.of("i-" + Long.toHexString(random.nextLong() & 0xffffffffffL)),
              SERVICE,
              new Address("10.1.64." + i % 250, 8_000 + i),
              AvailabilityZone.of("northvale-" + i % 4),
              3,
              TargetPhase.READY,
              1_764_900_000_000L + random.nextInt(90_000)));
    }
    List<OwnershipView.Range> ranges = new ArrayList<>();
    for (int i = 0; i < RANGES; i++) {
      ranges.add(
          new OwnershipView.Range(
              SERVICE,
              new KeyRange(i * (KEYS / RANGES), (i + 1) * (KEYS / RANGES) - 1),
              targets.get(random.nextInt(TARGETS)).id(),
              true,
              0));
    }
    return new OwnershipView(targets, ranges);
  }

  private static EntryUpdates.GroupFacts facts(Configuration configuration) {
    return new EntryUpdates.GroupFacts(configuration, List.of());
  }

  private static NodeMessage.Subscribe subscribe(long version, long term) {
    return new NodeMessage.Subscribe(
        new Address("10.9.0.1", 7_000),
        version,
        term,
        0,
        new LoadReport(Map.of(), List.of()),
        0,
        1,
        true);
  }

  private void assertFitsTheLink() {
    assertThat(sent.stream().mapToLong(LargeConfigurationTest::bytes).sum())
        .isPositive()
        .isLessThan(MAX_BYTES);
    assertThat(sent)
        .filteredOn(m -> bytes(m) > LARGE_BYTES)
        .as("large messages")
        .hasOnlyElementsOfType(NodeMessage.Encoded.class);
  }

  private static int bytes(NodeMessage message) {
    return message.toFrame().payload().length;
  }

  /**
   * Load: 84 entries and a change that adds 1,400 routes. Guards against a leader whose heartbeats
   * wait behind the configurations until it is replaced, which repeats them.
   */
  @Test
  void changeLeavesTheLinkFreeForHeartbeats() {
    updates.setEntries(entries);
    Configuration before = configuration(1, 10);
    entries.forEach(e -> updates.subscribe(0, e, subscribe(1, 1), facts(before)));
    sent.clear();
    updates.sendConfiguration(1, facts(configuration(2, ROUTES)));
    assertFitsTheLink();
  }

  /** Load: 84 entries that need all of a new leader. Guards against the same when it begins. */
  @Test
  void newLeaderLeavesTheLinkFreeForHeartbeats() {
    updates.setEntries(entries);
    Configuration large = configuration(2, ROUTES);
    entries.forEach(e -> updates.subscribe(0, e, subscribe(1, 0), facts(large)));
    assertFitsTheLink();
  }
}
