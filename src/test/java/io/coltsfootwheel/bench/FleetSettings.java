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

/** Writes the settings files of the daemons of a fleet and assigns their addresses. */
final class FleetSettings {
  /** Addresses of one daemon. */
  record DaemonAddresses(String id, Address link, Address http, Address operator) {}

  private static final String LOOPBACK = "127.0.0.1";
  // All ports are below the default range of ephemeral ports, which starts at 32768.
  private static final int FIRST_PORT = 20_000;
  // The process id selects a block, so that runs at the same time use different ports.
  private static final int PORT_BLOCKS = 400;
  private static final int PORTS_PER_BLOCK = 30;
  private static final String TOKEN = "process-run-operator-token";
  private static final String SHARED_KEY = "process-run-shared-key-of-one-fleet-only";

  private final Path folder;
  private final FleetSpec spec;
  private final List<DaemonAddresses> daemons = new ArrayList<>();
  private int lastPort =
      FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_BLOCKS) * PORTS_PER_BLOCK;

  private FleetSettings(Path folder, FleetSpec spec) {
    this.folder = folder;
    this.spec = spec;
  }

  /** Writes the settings files of a fleet into a folder. */
  static FleetSettings write(Path folder, FleetSpec spec) throws IOException {
    FleetSettings settings = new FleetSettings(folder, spec);
    settings.writeSecret("shared.key", SHARED_KEY);
    settings.writeSecret("operator.token", TOKEN);
    for (int i = 1; i <= spec.daemons(); i++) {
      settings.daemons.add(
          new DaemonAddresses(
              "daemon-" + i,
              settings.nextFreeAddress(),
              settings.nextFreeAddress(),
              settings.nextFreeAddress()));
    }
    for (int i = 0; i < spec.daemons(); i++) {
      Files.writeString(settings.file(settings.daemons.get(i).id()), settings.daemonToml(i));
    }
    return settings;
  }

  List<DaemonAddresses> daemons() {
    return daemons;
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

  private void writeSecret(String name, String text) throws IOException {
    Path file = folder.resolve(name);
    Files.writeString(file, text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
  }

  private Address nextFreeAddress() {
    while (true) {
      lastPort++;
      try (ServerSocket socket = new ServerSocket(lastPort, 1, InetAddress.getByName(LOOPBACK))) {
        return new Address(LOOPBACK, socket.getLocalPort());
      } catch (IOException e) {
        // Another process listens on this port: try the next one.
        continue;
      }
    }
  }

  private String daemonToml(int index) {
    DaemonAddresses daemon = daemons.get(index);
    String dataFolderSetting =
        index < spec.controlMembers() ? "data-folder = \"data-" + daemon.id() + "\"\n" : "";
    String controlMemberTables =
        daemons.stream()
            .limit(spec.controlMembers())
            .map(
                member ->
                    "[[control-members]]\ninstance-id = \"%s\"\nlink-address = \"%s\"\n"
                        .formatted(member.id(), member.link()))
            .collect(Collectors.joining());
    String initialMembers =
        IntStream.rangeClosed(1, spec.controlMembers())
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
                spec.name(),
                initialMembers,
                dataFolderSetting,
                daemon.id(),
                index % FleetSpec.zoneCount(),
                daemon.link(),
                daemon.http(),
                daemon.operator())
        + controlMemberTables
        + spec.services().stream().map(FleetSettings::serviceToml).collect(Collectors.joining());
  }

  private static String serviceToml(FleetSpec.ServiceTargets service) {
    String keyedSettings =
        "hash-slots = %d\nmove-policy = \"%s\"\n"
            .formatted(service.hashSlots(), service.movePolicy());
    return "[[services]]\nname = \"%s\"\nkeyed = %b\n".formatted(service.name(), service.keyed())
        + (service.keyed() ? keyedSettings : "");
  }
}
