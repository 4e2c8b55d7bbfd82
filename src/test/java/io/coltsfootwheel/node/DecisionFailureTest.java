package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

class DecisionFailureTest {
  private static final String HOST = "127.0.0.1";
  private static final long TIMEOUT_SECONDS = 20;

  @TempDir private Path folder;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(100);
  private final BlockingQueue<String> failures = new ArrayBlockingQueue<>(100);

  /** Guards against the end of a process whose log does not tell which event has failed. */
  @Test
  void failedDecisionIsLoggedWithTheSizeOfTheLog() throws Exception {
    try (EventLog log = new EventLog(lines::add, Map.of());
        ControlNode node = nodeThatCannotDecide(log)) {
      node.start();
      assertThat(failures.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .isEqualTo("Tick java.lang.IllegalStateException: for the test");
      assertThat(lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
          .contains("\"event\":\"decisions.failed\"")
          .contains("\"decision_event\":\"Tick\"")
          .contains("\"log_commands\":0,\"log_bytes\":0,\"queued_events\":");
    }
  }

  private ControlNode nodeThatCannotDecide(EventLog log) throws Exception {
    return new ControlNode(
        new ControlNodeSettings(
            "test",
            new Address(HOST, freePort()),
            List.of(InstanceId.of(HOST)),
            true,
            0,
            4_000,
            OwnershipSettings.of(1_000, 10_000),
            folder,
            Set.of(),
            100),
        path -> {
          throw new IllegalStateException("for the test");
        },
        call -> Mono.just(TargetCallResult.of(TargetCallResult.Outcome.UNKNOWN)),
        log,
        new SimpleMeterRegistry(),
        (eventType, failure) -> failures.add(eventType.getSimpleName() + " " + failure));
  }

  private static int freePort() throws Exception {
    try (ServerSocket probe = new ServerSocket(0)) {
      return probe.getLocalPort();
    }
  }
}
