package io.coltsfootwheel.node;

import io.coltsfootwheel.link.SilentProxy;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Control processes over sockets whose open connections to each other go silent again and again.
 */
@Timeout(60)
class SilentLinksTest {
  private static final int MEMBERS = 3;
  private static final int ROUNDS = 3;

  /** The platform's window after a reset of connections, and its time for a confirmation. */
  private static final Duration CONFIRMATION_LIMIT = Duration.ofMillis(3_000 + 4_000);

  private final List<SilentProxy> proxies = new ArrayList<>();
  private RunningControlGroup group;

  /** Starts processes with a port each, so that a proxy stands in each direction of each pair. */
  @BeforeEach
  void startGroup(@TempDir Path folder) throws Exception {
    group = new RunningControlGroup(folder);
    List<InstanceId> seeds =
        IntStream.range(0, MEMBERS).mapToObj(RunningControlGroup::member).toList();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      ports.add(RunningControlGroup.freePort());
    }
    for (int from = 0; from < MEMBERS; from++) {
      for (int to = 0; to < MEMBERS; to++) {
        if (from != to) {
          proxies.add(proxy(seeds.get(to), ports.get(from), ports.get(to)));
        }
      }
    }
    ports.forEach(port -> group.add(port, seeds, true, MEMBERS / 2));
    group.nodes().forEach(ControlNode::start);
  }

  @AfterEach
  void stop() throws Exception {
    group.close();
    for (SilentProxy proxy : proxies) {
      proxy.close();
    }
  }

  private static SilentProxy proxy(InstanceId to, int portOfSender, int portOfReceiver)
      throws IOException {
    return new SilentProxy(
        new Address(to.value(), portOfSender), () -> new Address(to.value(), portOfReceiver));
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("coltsfootwheel.silent-link-seeds", 3));
  }

  /** Guards against a group without a leader, or without the last accepted change, for good. */
  @ParameterizedTest
  @MethodSource("seeds")
  void changesAreAcceptedAfterConnectionsWentSilent(long seed) throws Exception {
    Random random = new Random(seed);
    group.change(CONFIRMATION_LIMIT);
    for (int i = 0; i < ROUNDS; i++) {
      proxies.stream().filter(p -> random.nextBoolean()).forEach(SilentProxy::silence);
      group.change(CONFIRMATION_LIMIT);
      group.assertLastChangeIsRead();
    }
  }
}
