package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.listener.ListenerKind;
import io.coltsfootwheel.listener.ProcessLimits;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.node.ControlNodeSettings;
import io.coltsfootwheel.node.EntryNodeSettings;
import io.coltsfootwheel.relay.LimitMode;
import io.coltsfootwheel.relay.RelaySettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Settings file of the platform, converted to the settings of control and entry processes.
 *
 * <p>Unknown fields are ignored, because the platform may add fields at any time. A known field of
 * another type or range is an error that names it, when the settings that contain it are asked for.
 */
final class PlatformSettings {
  private static final String CLUSTER_NAME = "coltsfootwheel";
  private static final int ENTRY_PORT_OFFSET = 1;
  private static final int MAX_LOGGED_SEED_LENGTH = 64;

  private static final int RESERVED_DESCRIPTORS = 200;

  /** Also with few descriptors, or an unlikely number of them, some clients are served. */
  private static final int MIN_SOCKETS = 64;

  static final FieldSet FIELDS = new FieldSet();
  static final FieldSet ADDRESS_FIELDS = new FieldSet();
  static final FieldSet FAULT_FIELDS = new FieldSet();
  static final FieldSet MACHINE_FIELDS = new FieldSet();

  private static final int MAX_PORT = 65_535;
  private static final long DEFAULT_HEARTBEAT_MILLIS = 1_000;
  private static final long MAX_HEARTBEAT_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final int DEFAULT_TOLERATED_LOSSES = 1;
  private static final int MAX_TOLERATED_LOSSES = 1_000;
  private static final double MAX_LINK_MEGABITS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MEGABIT = 1e6 / Byte.SIZE;

  private static final ValueType<Address> ADDRESS =
      ValueType.parsedText("an address and a port", Address::parse);
  private static final ValueType<Integer> PORT = ValueType.integer32(1, MAX_PORT);

  private static final RequiredField<String> NAME = FIELDS.required("nodeName", ValueType.text());
  private static final RequiredField<String> IP =
      FIELDS.required("ip", ValueType.parsedText("an IP address", PlatformSettings::numericHost));
  private static final RequiredField<AvailabilityZone> ZONE =
      FIELDS.required("zone", ValueType.parsedText("the name of a zone", AvailabilityZone::of));
  private static final RequiredField<String> DATA_FOLDER =
      FIELDS.required("dataDir", ValueType.text());
  private static final RequiredField<List<JsonValue>> PORT_RANGE =
      FIELDS.required("internalPortRange", ValueType.row(2));
  private static final OptionalField<List<JsonValue>> SEEDS =
      FIELDS.optional("seeds", ValueType.list());
  private static final OptionalField<Boolean> BOOTSTRAP =
      FIELDS.optional("bootstrap", ValueType.flag());
  private static final OptionalField<Long> HEARTBEAT_MILLIS =
      FIELDS.optional("heartbeatIntervalMs", ValueType.integer(1, MAX_HEARTBEAT_MILLIS));
  private static final OptionalField<List<JsonValue>> BOUNDS =
      FIELDS.optional("bounds", ValueType.list());
  private static final OptionalField<List<JsonValue>> CONTRACTS =
      FIELDS.optional("contracts", ValueType.list());
  private static final OptionalField<LimitMode> LIMIT_MODE =
      FIELDS.optional(
          "concurrencyLimits",
          ValueType.choice(Map.of("observe", LimitMode.OBSERVE, "enforce", LimitMode.ENFORCE)));
  private static final RequiredField<JsonValue> LISTEN_ADDRESSES =
      FIELDS.required("listenAddrs", ValueType.object());
  private static final OptionalField<JsonValue> ZONES =
      FIELDS.optional("zones", ValueType.object());
  private static final OptionalField<JsonValue> FAULT_TOLERANCE =
      FIELDS.optional("faultTolerance", ValueType.object());
  private static final OptionalField<JsonValue> MACHINE_LIMITS =
      FIELDS.optional("limits", ValueType.object());

  private static final RequiredField<Address> FRONT = ADDRESS_FIELDS.required("front", ADDRESS);
  private static final RequiredField<Address> READY = ADDRESS_FIELDS.required("ready", ADDRESS);
  private static final RequiredField<Address> CONTROL = ADDRESS_FIELDS.required("control", ADDRESS);
  private static final OptionalField<Integer> TOLERATED_LOSSES =
      FAULT_FIELDS.optional("machines", ValueType.integer32(0, MAX_TOLERATED_LOSSES));

  private static final OptionalField<Integer> MAX_DESCRIPTORS =
      MACHINE_FIELDS.optional("maxFds", ValueType.integer32(0, Integer.MAX_VALUE));

  private static final OptionalField<Double> LINK_MEGABITS_PER_SECOND =
      MACHINE_FIELDS.optional("linkMbps", ValueType.number(0, MAX_LINK_MEGABITS_PER_SECOND));

  private final JsonValue root;

  private PlatformSettings(JsonValue root) {
    this.root = root;
  }

  /**
   * Reads a settings file.
   *
   * @param file the file
   * @return the settings
   * @throws ColtsfootwheelException with INVALID_SETTINGS when the file cannot be read
   */
  static PlatformSettings read(Path file) {
    try {
      return new PlatformSettings(
          JsonValue.root(
              new TomlMapper().readTree(Files.readString(file)), ErrorKind.INVALID_SETTINGS));
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS, "settings file " + file + ": " + e.getMessage(), e);
    }
  }

  String name() {
    return root.read(NAME);
  }

  String ip() {
    return root.read(IP);
  }

  Address frontAddress() {
    return root.read(LISTEN_ADDRESSES).read(FRONT);
  }

  Address readinessAddress() {
    return root.read(LISTEN_ADDRESSES).read(READY);
  }

  Address controlAddress() {
    return root.read(LISTEN_ADDRESSES).read(CONTROL);
  }

  long graceMillis() {
    return millis(bounds(), PlatformBound.GRACE_SECONDS);
  }

  /** Returns the valid seeds; the others do not prevent their use. */
  List<InstanceId> seeds() {
    List<InstanceId> seeds = new ArrayList<>();
    seedValues().forEach(seed -> parseSeed(seed).ifPresent(seeds::add));
    return seeds;
  }

  /** Returns the beginning of each seed that is not an IP address and a port. */
  List<String> invalidSeeds() {
    List<String> invalid = new ArrayList<>();
    for (JsonNode seed : seedValues()) {
      if (parseSeed(seed).isEmpty()) {
        String text = seed.asText();
        invalid.add(text.substring(0, Math.min(MAX_LOGGED_SEED_LENGTH, text.length())));
      }
    }
    return invalid;
  }

  private static Optional<InstanceId> parseSeed(JsonNode seed) {
    try {
      return Optional.of(InstanceId.of(Address.parseNumeric(seed.asText()).host()));
    } catch (ColtsfootwheelException e) {
      return Optional.empty();
    }
  }

  private List<JsonNode> seedValues() {
    return root.read(SEEDS).orElse(List.of()).stream().map(JsonValue::node).toList();
  }

  ControlNodeSettings control() {
    Map<PlatformBound, Double> bounds = bounds();
    return new ControlNodeSettings(
        CLUSTER_NAME,
        new Address(ip(), memberPort()),
        seeds(),
        root.read(BOOTSTRAP).orElse(false),
        root.read(FAULT_TOLERANCE)
            .flatMap(tolerance -> tolerance.read(TOLERATED_LOSSES))
            .orElse(DEFAULT_TOLERATED_LOSSES),
        millis(bounds, PlatformBound.CATCH_UP_SECONDS),
        OwnershipSettings.of(
            root.read(HEARTBEAT_MILLIS).orElse(DEFAULT_HEARTBEAT_MILLIS),
            bounds.get(PlatformBound.MAX_HOLD_MILLIS).longValue(),
            bounds.get(PlatformBound.WARMUP_OVERSHOOT),
            bounds.get(PlatformBound.WARMUP_SLACK)),
        Path.of(root.read(DATA_FOLDER)),
        zones(),
        ListenerKind.LINKS.maxConnections(processLimits()));
  }

  /** Returns the zones that the settings name; a name that no target can have is left out. */
  private Set<AvailabilityZone> zones() {
    Set<AvailabilityZone> zones = new TreeSet<>();
    root.read(ZONES)
        .ifPresent(
            table ->
                table
                    .node()
                    .fieldNames()
                    .forEachRemaining(name -> parseZone(name).ifPresent(zones::add)));
    return zones;
  }

  private static Optional<AvailabilityZone> parseZone(String name) {
    try {
      return Optional.of(AvailabilityZone.of(name));
    } catch (ColtsfootwheelException e) {
      return Optional.empty();
    }
  }

  EntryNodeSettings entry() {
    return new EntryNodeSettings(
        CLUSTER_NAME,
        new Address(ip(), memberPort() + ENTRY_PORT_OFFSET),
        memberPort(),
        seeds(),
        ListenerKind.LINKS.maxConnections(processLimits()));
  }

  RelaySettings relay() {
    Map<PlatformBound, Double> bounds = bounds();
    return new RelaySettings(
        frontAddress(),
        root.read(ZONE),
        PlatformNames.HEADERS,
        bounds.get(PlatformBound.DRAIN_MILLIS).longValue(),
        bounds.get(PlatformBound.EVACUATION_MILLIS).longValue(),
        bounds.get(PlatformBound.RETRY_BUDGET_RATIO),
        bounds.get(PlatformBound.RETRY_BUDGET_SLACK),
        millis(bounds, PlatformBound.BUDGET_WINDOW_SECONDS),
        ip().hashCode() ^ System.nanoTime(),
        root.read(LIMIT_MODE).orElseGet(this::defaultLimitMode),
        linkBytesPerSecond(),
        processLimits());
  }

  /** Returns the mode that applies when the settings name none. */
  private LimitMode defaultLimitMode() {
    boolean slowsDown =
        root.read(CONTRACTS).orElse(List.of()).stream()
            .anyMatch(c -> PlatformNames.PRESSURE_CONTRACT.equals(c.node().textValue()));
    return slowsDown ? LimitMode.ENFORCE : LimitMode.OBSERVE;
  }

  /** Returns the rate of the machine's link; a rate of 0 says that it is not known. */
  private OptionalLong linkBytesPerSecond() {
    return root.read(MACHINE_LIMITS)
        .flatMap(limits -> limits.read(LINK_MEGABITS_PER_SECOND))
        .filter(megabits -> megabits > 0)
        .map(megabits -> OptionalLong.of(Math.max(1, (long) (megabits * BYTES_PER_MEGABIT))))
        .orElse(OptionalLong.empty());
  }

  /** Returns the limits of a process; the platform's descriptors include some for its files. */
  ProcessLimits processLimits() {
    return root.read(MACHINE_LIMITS)
        .flatMap(limits -> limits.read(MAX_DESCRIPTORS))
        .map(descriptors -> Math.max(MIN_SOCKETS, descriptors - RESERVED_DESCRIPTORS))
        .map(ProcessLimits::ofProcess)
        .orElseGet(ProcessLimits::ofProcess);
  }

  private int memberPort() {
    List<JsonValue> range = root.read(PORT_RANGE);
    int first = range.get(0).as(PORT);
    // Entries on the machine of a member use the second port.
    range.get(1).as(ValueType.integer32(first + ENTRY_PORT_OFFSET, MAX_PORT));
    return first;
  }

  /** Returns each bound that the processes use; reads them all, so that a fault ends the start. */
  private Map<PlatformBound, Double> bounds() {
    Map<PlatformBound, Double> bounds = new EnumMap<>(PlatformBound.class);
    for (JsonValue value : root.read(BOUNDS).orElse(List.of())) {
      String text = value.as(ValueType.text());
      PlatformBound.named(text)
          .ifPresent(
              bound ->
                  bounds.put(
                      bound,
                      bound.parse(text).orElseThrow(() -> value.unexpected(bound.expectedText()))));
    }
    if (bounds.containsKey(PlatformBound.DRAIN_MILLIS)) {
      bounds.putIfAbsent(PlatformBound.EVACUATION_MILLIS, bounds.get(PlatformBound.DRAIN_MILLIS));
    }
    for (PlatformBound bound : PlatformBound.values()) {
      bounds.putIfAbsent(bound, bound.defaultValue());
    }
    return bounds;
  }

  private static long millis(Map<PlatformBound, Double> bounds, PlatformBound secondsBound) {
    return (long) (1_000 * bounds.get(secondsBound));
  }

  private static String numericHost(String text) {
    Address address = new Address(text, MAX_PORT);
    if (!address.isNumeric()) {
      throw ColtsfootwheelException.of(ErrorKind.INVALID_VALUE, "'" + text + "' is no IP address");
    }
    return address.host();
  }
}
