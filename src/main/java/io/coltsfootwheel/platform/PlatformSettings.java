package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.node.ControlNodeSettings;
import io.coltsfootwheel.node.EntryNodeSettings;
import io.coltsfootwheel.relay.RelaySettings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings file of the platform, converted to the settings of control and entry processes.
 *
 * <p>Unknown fields are ignored, because the platform may add fields at any time.
 */
final class PlatformSettings {
  private static final String CLUSTER_NAME = "coltsfootwheel";
  private static final int ENTRY_PORT_OFFSET = 1;
  private static final int MAX_LOGGED_SEED_LENGTH = 64;

  private final JsonNode root;
  private final Map<String, Double> bounds = new HashMap<>();

  private PlatformSettings(JsonNode root) {
    this.root = root;
    for (JsonNode bound : root.path("bounds")) {
      String[] nameAndValue = bound.asText().split("=", 2);
      if (nameAndValue.length == 2) {
        putBound(nameAndValue[0].trim(), nameAndValue[1].trim());
      }
    }
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
      return new PlatformSettings(new TomlMapper().readTree(Files.readString(file)));
    } catch (IOException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS, "settings file " + file + ": " + e.getMessage(), e);
    }
  }

  String name() {
    return text("nodeName");
  }

  String ip() {
    return text("ip");
  }

  Address frontAddress() {
    return Address.parse(text("listenAddrs", "front"));
  }

  Address readinessAddress() {
    return Address.parse(text("listenAddrs", "ready"));
  }

  Address controlAddress() {
    return Address.parse(text("listenAddrs", "control"));
  }

  long graceMillis() {
    return (long) (1_000 * bound("graceS", 6));
  }

  /** Returns the valid seeds; the others do not prevent their use. */
  List<InstanceId> seeds() {
    List<InstanceId> seeds = new ArrayList<>();
    root.path("seeds").forEach(s -> parseSeed(s).ifPresent(seeds::add));
    return seeds;
  }

  /** Returns the beginning of each seed that is not an IP address and a port. */
  List<String> invalidSeeds() {
    List<String> invalid = new ArrayList<>();
    for (JsonNode seed : root.path("seeds")) {
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

  ControlNodeSettings control() {
    return new ControlNodeSettings(
        CLUSTER_NAME,
        new Address(ip(), memberPort()),
        seeds(),
        root.path("bootstrap").asBoolean(false),
        root.path("faultTolerance").path("machines").asInt(1),
        (long) (1_000 * bound("catchUpS", 4)),
        OwnershipSettings.of(
            root.path("heartbeatIntervalMs").asLong(1_000), (long) bound("maxHoldMs", 10_000)),
        Path.of(text("dataDir")));
  }

  EntryNodeSettings entry() {
    return new EntryNodeSettings(
        CLUSTER_NAME, new Address(ip(), memberPort() + ENTRY_PORT_OFFSET), memberPort(), seeds());
  }

  RelaySettings relay() {
    return new RelaySettings(
        frontAddress(),
        AvailabilityZone.of(text("zone")),
        PlatformNames.HEADERS,
        (long) bound("drainMs", 2_000),
        bound("retryBudgetRatio", 0.1),
        bound("retryBudgetSlack", 10),
        (long) (1_000 * bound("budgetWindowS", 10)),
        ip().hashCode() ^ System.nanoTime());
  }

  private int memberPort() {
    return root.path("internalPortRange").path(0).asInt();
  }

  private double bound(String name, double defaultValue) {
    return bounds.getOrDefault(name, defaultValue);
  }

  private void putBound(String name, String value) {
    try {
      bounds.put(name, Double.parseDouble(value));
    } catch (NumberFormatException e) {
      // Some bounds are booleans; this process uses none of them.
      bounds.remove(name);
    }
  }

  private String text(String... path) {
    JsonNode node = root;
    for (String name : path) {
      node = node.path(name);
    }
    if (!node.isTextual()) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS, "setting " + String.join(".", path) + " is missing");
    }
    return node.asText();
  }
}
