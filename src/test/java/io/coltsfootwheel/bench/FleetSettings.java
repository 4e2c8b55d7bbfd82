package io.coltsfootwheel.bench;

import io.coltsfootwheel.model.Address;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Settings files and addresses of the daemons of a fleet. */
final class FleetSettings {
  /** Addresses of one daemon. */
  record Node(String id, Address link, Address http, Address operator) {}

  private static final String LOOPBACK = "127.0.0.1";
  // Ports from here on stay below the usual range of outgoing connections, which starts at 32768.
  private static final int FIRST_PORT = 20_000;
  private static final int PORT_BLOCKS = 400;
  private static final int PORTS_PER_BLOCK = 30;
  private static final String TOKEN = "process-run-operator-token";
  private static final String SHARED_KEY = "process-run-shared-key-of-one-fleet-only";

  private final Path folder;
  private final FleetPlan plan;
  private final List<Node> nodes = new ArrayList<>();
  private int lastPort =
      FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_BLOCKS) * PORTS_PER_BLOCK;

  private FleetSettings(Path folder, FleetPlan plan) {
    this.folder = folder;
    this.plan = plan;
  }

  /** Writes the settings files of a fleet into a folder. */
  static FleetSettings write(Path folder, FleetPlan plan) throws IOException {
    FleetSettings settings = new FleetSettings(folder, plan);
    settings.secret("shared.key", SHARED_KEY);
    settings.secret("operator.token", TOKEN);
    for (int i = 1; i <= plan.daemons(); i++) {
      settings.nodes.add(
          new Node("daemon-" + i, settings.free(), settings.free(), settings.free()));
    }
    for (int i = 0; i < plan.daemons(); i++) {
      Files.writeString(settings.file(settings.nodes.get(i).id()), settings.toml(i));
    }
    return settings;
  }

  List<Node> nodes() {
    return nodes;
  }

  String token() {
    return TOKEN;
  }

  Path file(String id) {
    return folder.resolve(id + ".toml");
  }

  Path dataFolder(String id) {
    return folder.resolve("data-" + id);
  }

  private void secret(String name, String text) throws IOException {
    Path file = folder.resolve(name);
    Files.writeString(file, text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
  }

  private Address free() {
    while (true) {
      lastPort++;
      try (ServerSocket socket = new ServerSocket(lastPort, 1, InetAddress.getByName(LOOPBACK))) {
        return new Address(LOOPBACK, socket.getLocalPort());
      } catch (IOException e) {
        // Another process listens on this port; the next one is tried.
        continue;
      }
    }
  }

  private String toml(int index) {
    Node node = nodes.get(index);
    String data = index < plan.members() ? "data-folder = \"data-" + node.id() + "\"\n" : "";
    String members =
        nodes.stream()
            .limit(plan.members())
            .map(
                member ->
                    "[[control-members]]\ninstance-id = \"%s\"\nlink-address = \"%s\"\n"
                        .formatted(member.id(), member.link()))
            .collect(Collectors.joining());
    String initial =
        IntStream.rangeClosed(1, plan.members())
            .mapToObj(i -> "\"daemon-" + i + "\"")
            .collect(Collectors.joining(", "));
    return """
        cluster-name = "%s"
        shared-key-file = "shared.key"
        operator-token-file = "operator.token"
        initial-members = [%s]
        %s[instance]
        id = "%s"
        zone = "zone-%d"
        [listen]
        link = "%s"
        http = "%s"
        operator = "%s"
        """
            .formatted(
                plan.name(),
                initial,
                data,
                node.id(),
                index % FleetPlan.zones(),
                node.link(),
                node.http(),
                node.operator())
        + members
        + plan.services().stream().map(FleetSettings::service).collect(Collectors.joining());
  }

  private static String service(FleetPlan.ServicePlan service) {
    String keyed =
        "hash-slots = %d\nmove-policy = \"%s\"\n"
            .formatted(service.hashSlots(), service.movePolicy());
    return "[[services]]\nname = \"%s\"\nkeyed = %b\n".formatted(service.name(), service.keyed())
        + (service.keyed() ? keyed : "");
  }
}
