package io.coltsfootwheel.platform;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.node.ControlNode;
import io.coltsfootwheel.node.ControlNodeSettings;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import reactor.core.publisher.Mono;

/** Control process that is the only member of its group. */
final class SingleControlNode {
  static final String HOST = "127.0.0.1";

  private static final long CATCH_UP_MILLIS = 4_000;

  private SingleControlNode() {}

  /** Creates the process without starting it. */
  static ControlNode create(OwnershipSettings ownership, Path folder, EventLog log)
      throws IOException {
    return new ControlNode(
        new ControlNodeSettings(
            "test",
            new Address(HOST, freePort()),
            List.of(InstanceId.of(HOST)),
            true,
            0,
            CATCH_UP_MILLIS,
            ownership,
            folder,
            Set.of(AvailabilityZone.of("z")),
            100),
        call -> Mono.never(),
        log,
        new SimpleMeterRegistry(),
        (eventType, failure) -> {});
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0)) {
      return probe.getLocalPort();
    }
  }
}
