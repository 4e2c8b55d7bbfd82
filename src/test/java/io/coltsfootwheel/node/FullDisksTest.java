package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.routing.ConfigurationItem;
import io.coltsfootwheel.routing.ServicePolicy;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** Tests control processes over sockets whose disks are full, one after another. */
@Timeout(120)
class FullDisksTest {
  private static final int MEMBERS = 5;
  private static final int CHANGES_PER_DISK = 8;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

  /** Longest time until a change is confirmed, of the platform. */
  private static final Duration CONFIRMATION_LIMIT = Duration.ofSeconds(4);

  private static final long RETRY_MILLIS = 20;

  @TempDir private Path folder;
  private final List<FillableDisk> disks = new ArrayList<>();
  private final List<ControlNode> nodes = new ArrayList<>();
  private final AtomicInteger failures = new AtomicInteger();
  private final EventLog log = new EventLog(line -> {}, Map.of());
  private long version;

  private void startNode(int index, int port, List<InstanceId> seeds, boolean firstStart) {
    FillableDisk disk = new FillableDisk();
    disks.add(disk);
    ControlNode node =
        new ControlNode(
            new ControlNodeSettings(
                "test",
                new Address(member(index).value(), port),
                seeds,
                firstStart,
                2,
                4_000,
                OwnershipSettings.of(1_000, 10_000),
                folder.resolve("disk-" + index)),
            disk::open,
            call -> Mono.just(TargetCallResult.of(TargetCallResult.Outcome.UNKNOWN)),
            log,
            new SimpleMeterRegistry(),
            failures::incrementAndGet);
    nodes.add(node);
  }

  private void startGroup(int port) {
    List<InstanceId> seeds = List.of(member(0), member(1), member(2));
    for (int i = 0; i < MEMBERS; i++) {
      startNode(i, port, seeds, true);
    }
    nodes.forEach(ControlNode::start);
  }

  @AfterEach
  void stop() throws InterruptedException {
    for (ControlNode node : nodes) {
      node.close();
    }
    log.close();
  }

  private static InstanceId member(int index) {
    return InstanceId.of("127.0.3." + (index + 1));
  }

  private static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket()) {
      probe.bind(new InetSocketAddress(member(0).value(), 0));
      return probe.getLocalPort();
    }
  }

  /** Sends the next change to one member after another until it is accepted. */
  private void change() throws InterruptedException {
    ConfigurationChange change =
        new ConfigurationChange(
            version,
            version + 1,
            "c" + version,
            true,
            List.of(ConfigurationItem.of(new ServicePolicy(ServiceName.of("s"), true, 10), "{}")),
            List.of());
    ControlAnswer answer = new ControlAnswer.Unavailable("not asked yet");
    long endNanos = System.nanoTime() + CONFIRMATION_LIMIT.toNanos();
    for (int i = 0;
        !(answer instanceof ControlAnswer.Accepted) && System.nanoTime() < endNanos;
        i++) {
      answer =
          nodes
              .get(i % MEMBERS)
              .change(change)
              .timeout(CALL_TIMEOUT, Mono.just(new ControlAnswer.Unavailable("no answer")))
              .block();
      Thread.sleep(answer instanceof ControlAnswer.Accepted ? 0 : RETRY_MILLIS);
    }
    assertThat(answer).as("version %d", version + 1).isInstanceOf(ControlAnswer.Accepted.class);
    version++;
  }

  private long versionReadFrom(ControlNode node) {
    ControlAnswer answer =
        node.read().timeout(CALL_TIMEOUT, Mono.just(new ControlAnswer.Accepted())).block();
    return answer instanceof ControlAnswer.Current current ? current.configuration().version() : -1;
  }

  /**
   * Guards against changes that are refused or stay unanswered to the end, although each disk was
   * full for a short time only and never two at once.
   */
  @ParameterizedTest
  @CsvSource({"700, 0", "700, 800", "2500, 0"})
  void changesAreAcceptedAfterEachDiskWasFull(long fullMillis, long pauseMillis) throws Exception {
    startGroup(freePort());
    change();
    for (FillableDisk disk : disks) {
      disk.fill();
      long endNanos = System.nanoTime() + Duration.ofMillis(fullMillis).toNanos();
      for (int i = 0; i < CHANGES_PER_DISK; i++) {
        change();
      }
      while (System.nanoTime() < endNanos) {
        change();
      }
      disk.free();
      Thread.sleep(pauseMillis);
    }
    for (int i = 0; i < CHANGES_PER_DISK; i++) {
      change();
    }
    assertThat(nodes).extracting(this::versionReadFrom).contains(version);
    assertThat(failures).hasValue(0);
  }

  /** Guards against seeds that are forgotten because they changed while the disk was full. */
  @Test
  void seedsThatChangeWhileTheDiskIsFullAreUsed() throws Exception {
    int port = freePort();
    startGroup(port);
    change();
    startNode(MEMBERS, port, List.of(member(MEMBERS + 1)), false);
    ControlNode late = nodes.get(MEMBERS);
    disks.get(MEMBERS).fill();
    late.start();
    late.setSeeds(List.of(member(0)));
    Thread.sleep(CALL_TIMEOUT.toMillis());
    disks.get(MEMBERS).free();
    ControlAnswer answer = new ControlAnswer.Unavailable("not asked yet");
    long endNanos = System.nanoTime() + CONFIRMATION_LIMIT.toNanos();
    while (!(answer instanceof ControlAnswer.Redirect) && System.nanoTime() < endNanos) {
      answer = late.read().block(CALL_TIMEOUT);
      Thread.sleep(RETRY_MILLIS);
    }
    assertThat(answer).isInstanceOf(ControlAnswer.Redirect.class);
  }
}
