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
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;

/** Control processes over sockets, in one Java process, to which one operator sends changes. */
final class RunningControlGroup implements AutoCloseable {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final long RETRY_MILLIS = 20;

  private final Path folder;
  private final List<FillableDisk> disks = new ArrayList<>();
  private final List<ControlNode> nodes = new ArrayList<>();
  private final AtomicInteger failures = new AtomicInteger();
  private final EventLog log = new EventLog(line -> {}, Map.of());
  private long version;

  RunningControlGroup(Path folder) {
    this.folder = folder;
  }

  static InstanceId member(int index) {
    return InstanceId.of("127.0.3." + (index + 1));
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket()) {
      probe.bind(new InetSocketAddress(member(0).value(), 0));
      return probe.getLocalPort();
    }
  }

  /** Adds a process without starting it. */
  ControlNode add(int port, List<InstanceId> seeds, boolean firstStart, int toleratedLosses) {
    int index = nodes.size();
    FillableDisk disk = new FillableDisk();
    disks.add(disk);
    ControlNode node =
        new ControlNode(
            new ControlNodeSettings(
                "test",
                new Address(member(index).value(), port),
                seeds,
                firstStart,
                toleratedLosses,
                4_000,
                OwnershipSettings.of(1_000, 10_000),
                folder.resolve("disk-" + index),
                Set.of(),
                100),
            disk::open,
            call -> Mono.just(TargetCallResult.of(TargetCallResult.Outcome.UNKNOWN)),
            log,
            new SimpleMeterRegistry(),
            (eventType, failure) -> failures.incrementAndGet());
    nodes.add(node);
    return node;
  }

  List<ControlNode> nodes() {
    return nodes;
  }

  List<FillableDisk> disks() {
    return disks;
  }

  /** Sends the next change to one process after another until it is accepted. */
  void change(Duration limit) throws InterruptedException {
    ConfigurationChange change =
        new ConfigurationChange(
            version,
            version + 1,
            "c" + version,
            true,
            List.of(ConfigurationItem.of(new ServicePolicy(ServiceName.of("s"), true, 10), "{}")),
            List.of());
    ControlAnswer answer = new ControlAnswer.Unavailable("not asked yet");
    long endNanos = System.nanoTime() + limit.toNanos();
    for (int i = 0;
        !(answer instanceof ControlAnswer.Accepted) && System.nanoTime() < endNanos;
        i++) {
      answer =
          nodes
              .get(i % nodes.size())
              .change(change)
              .timeout(CALL_TIMEOUT, Mono.just(new ControlAnswer.Unavailable("no answer")))
              .block();
      Thread.sleep(answer instanceof ControlAnswer.Accepted ? 0 : RETRY_MILLIS);
    }
    assertThat(answer).as("version %d", version + 1).isInstanceOf(ControlAnswer.Accepted.class);
    version++;
  }

  /**
   * Asserts that some process answers a read with the last accepted change, and none has failed.
   */
  void assertLastChangeIsRead() {
    assertThat(nodes).extracting(RunningControlGroup::versionReadFrom).contains(version);
    assertThat(failures).hasValue(0);
  }

  private static long versionReadFrom(ControlNode node) {
    ControlAnswer answer =
        node.read().timeout(CALL_TIMEOUT, Mono.just(new ControlAnswer.Accepted())).block();
    return answer instanceof ControlAnswer.Current current ? current.configuration().version() : -1;
  }

  @Override
  public void close() throws InterruptedException {
    for (ControlNode node : nodes) {
      node.close();
    }
    log.close();
  }
}
