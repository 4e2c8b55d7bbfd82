package io.coltsfootwheel.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.MovePolicy;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Converts a parsed settings file to {@link DaemonSettings}, or throws with all its faults. */
final class SettingsReader {
  /** Output size of SHA-256; with a shorter key, HMAC-SHA-256 is weaker than its hash. */
  static final int MIN_KEY_BYTES = 32;

  /** A random token of 16 characters cannot be guessed by requests over the network. */
  static final int MIN_TOKEN_BYTES = 16;

  /** Replaces an invalid value, so that reading continues until all faults are collected. */
  private static final String PLACEHOLDER = "invalid";

  private static final Address PLACEHOLDER_ADDRESS = new Address("127.0.0.1", 1);

  private final Path folder;
  private final FaultCollector faults;
  private final TableReader root;
  private final Map<ServiceName, Objective> objectives = new LinkedHashMap<>();

  SettingsReader(Path folder, JsonNode rootNode, FaultCollector faults) {
    this.folder = folder;
    this.faults = faults;
    this.root = TableReader.root(rootNode, faults);
  }

  DaemonSettings read() {
    TableReader instance = root.table(Setting.INSTANCE);
    TableReader listen = root.table(Setting.LISTEN);
    TableReader advertise = root.table(Setting.ADVERTISE);
    Address linkAddress = listenAddress(listen, Setting.LISTEN_LINK);
    Address httpAddress = listenAddress(listen, Setting.LISTEN_HTTP);
    Address operatorAddress = listenAddress(listen, Setting.LISTEN_OPERATOR);
    RequestLimits limits = limits(root.table(Setting.LIMITS));
    List<ServiceSpec> services = services();
    DaemonSettings settings =
        new DaemonSettings(
            root.text(Setting.CLUSTER_NAME).orElse(PLACEHOLDER),
            instance
                .identifier(Setting.INSTANCE_ID, InstanceId::of)
                .orElseGet(() -> InstanceId.of(PLACEHOLDER)),
            instance
                .identifier(Setting.INSTANCE_ZONE, AvailabilityZone::of)
                .orElseGet(() -> AvailabilityZone.of(PLACEHOLDER)),
            linkAddress,
            httpAddress,
            operatorAddress,
            advertisedAddress(advertise, Setting.ADVERTISE_LINK, linkAddress),
            advertisedAddress(advertise, Setting.ADVERTISE_HTTP, httpAddress),
            root.text(Setting.DATA_FOLDER).map(folder::resolve),
            controlMembers(),
            initialMembers(),
            secretFile(Setting.SHARED_KEY_FILE, MIN_KEY_BYTES),
            secretFile(Setting.OPERATOR_TOKEN_FILE, MIN_TOKEN_BYTES),
            services,
            limits,
            root.choice(Setting.LOG_FORMAT, LogFormat::parse).orElse(LogFormat.TEXT),
            objectives);
    new ConsistencyChecker(settings, faults).checkAll();
    faults.throwIfAny();
    return settings;
  }

  private Address listenAddress(TableReader listen, Setting setting) {
    Address address =
        listen.has(setting)
            ? listen.address(setting).orElse(PLACEHOLDER_ADDRESS)
            : Address.parse(setting.defaultText());
    faults.check(
        !isWildcard(address) || root.booleanValue(Setting.ALLOW_ALL_INTERFACES),
        listen.displayName(setting),
        address + " listens on all interfaces",
        "name one interface, or set allow-all-interfaces = true");
    return address;
  }

  private Address advertisedAddress(TableReader advertise, Setting setting, Address listen) {
    Address address = advertise.address(setting).orElse(listen);
    faults.check(
        !isWildcard(address),
        advertise.displayName(setting),
        address + " is a wildcard address, to which others cannot connect",
        "use the IP address of one interface");
    return address;
  }

  static boolean isWildcard(Address address) {
    return address.host().equals("0.0.0.0") || address.host().matches("[0:]*::[0:]*|(0+:){7}0+");
  }

  private Path secretFile(Setting setting, int minimumBytes) {
    Optional<Path> file = root.text(setting).map(folder::resolve);
    file.ifPresent(path -> SecretFile.check(path, root.displayName(setting), minimumBytes, faults));
    return file.orElse(folder);
  }

  private List<ControlMember> controlMembers() {
    List<ControlMember> members = new ArrayList<>();
    for (TableReader member : root.tables(Setting.CONTROL_MEMBERS)) {
      Optional<InstanceId> id = member.identifier(Setting.MEMBER_ID, InstanceId::of);
      Optional<Address> linkAddress = member.address(Setting.MEMBER_LINK);
      if (id.isPresent() && linkAddress.isPresent()) {
        members.add(new ControlMember(id.get(), linkAddress.get()));
      }
    }
    return members;
  }

  private List<InstanceId> initialMembers() {
    String name = root.displayName(Setting.INITIAL_MEMBERS);
    return root.strings(Setting.INITIAL_MEMBERS).stream()
        .flatMap(text -> root.parse(name, text, InstanceId::of).stream())
        .toList();
  }

  private RequestLimits limits(TableReader limits) {
    return new RequestLimits(
        integer(limits, Setting.BODY_BYTES),
        integer(limits, Setting.QUEUE_FACTOR),
        integer(limits, Setting.CONCURRENT_REQUESTS),
        integer(limits, Setting.DEADLINE_DEFAULT_MILLIS),
        integer(limits, Setting.DEADLINE_MAXIMUM_MILLIS));
  }

  private List<ServiceSpec> services() {
    List<ServiceSpec> services = new ArrayList<>();
    for (TableReader service : root.tables(Setting.SERVICES)) {
      Optional<ServiceName> name = service.identifier(Setting.SERVICE_NAME, ServiceName::of);
      boolean keyed = service.booleanValue(Setting.SERVICE_KEYED);
      faults.check(
          keyed || !service.has(Setting.SERVICE_HASH_SLOTS),
          service.displayName(Setting.SERVICE_HASH_SLOTS),
          "an unkeyed service has no hash slots",
          "remove it or set keyed = true");
      int hashSlots = integer(service, Setting.SERVICE_HASH_SLOTS);
      MovePolicy policy =
          service
              .choice(Setting.SERVICE_MOVE_POLICY, SettingsReader::movePolicy)
              .orElse(MovePolicy.AVAILABILITY);
      Optional<Objective> objective = objective(service);
      name.ifPresent(
          serviceName -> {
            services.add(new ServiceSpec(serviceName, keyed, keyed ? hashSlots : 0, policy));
            objective.ifPresent(value -> objectives.put(serviceName, value));
          });
    }
    return services;
  }

  private Optional<Objective> objective(TableReader service) {
    if (!service.has(Setting.SERVICE_OBJECTIVES)) {
      return Optional.empty();
    }
    TableReader table = service.table(Setting.SERVICE_OBJECTIVES);
    return Optional.of(
        new Objective(
            table.share(Setting.ANSWERED_IN_TIME_SHARE).orElse(0.5),
            table.integer(Setting.IN_TIME_MILLIS).orElse(1),
            table.integer(Setting.UNAVAILABLE_SECONDS_PER_DAY).orElse(1),
            table.integer(Setting.CHURN_PER_HOUR).orElse(1)));
  }

  private static int integer(TableReader table, Setting setting) {
    return table.integer(setting).orElseGet(() -> Integer.parseInt(setting.defaultText()));
  }

  private static Optional<MovePolicy> movePolicy(String text) {
    return Arrays.stream(MovePolicy.values())
        .filter(policy -> policy.name().toLowerCase(Locale.ROOT).equals(text))
        .findFirst();
  }
}
