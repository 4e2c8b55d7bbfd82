package io.coltsfootwheel.routing;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.coltsfootwheel.model.ServiceName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable configuration of routes, services and limits, with the fingerprints of the changes that
 * led to it.
 *
 * <p>Usage: {@code configuration.evaluate(change)}.
 */
public final class Configuration {
  /**
   * Number of latest changes that are recognised when they are sent again; a day has a few hundred
   * changes.
   */
  private static final int MAX_ACCEPTED_FINGERPRINTS = 4_096;

  private static final Configuration EMPTY = new Configuration(0, List.of(), List.of());

  private final long version;
  private final Map<ItemKey, ConfigurationItem> items;
  private final Set<String> acceptedFingerprints;

  /**
   * Creates a configuration.
   *
   * @param version version, 0 when nothing was configured yet
   * @param items the items
   * @param acceptedFingerprints fingerprints of accepted changes, oldest first
   */
  @JsonCreator
  public Configuration(
      @JsonProperty("version") long version,
      @JsonProperty("items") List<ConfigurationItem> items,
      @JsonProperty("accepted") List<String> acceptedFingerprints) {
    this(version, byKey(items), new LinkedHashSet<>(acceptedFingerprints));
  }

  private Configuration(
      long version, Map<ItemKey, ConfigurationItem> items, Set<String> acceptedFingerprints) {
    this.version = version;
    this.items = Collections.unmodifiableMap(items);
    this.acceptedFingerprints = Collections.unmodifiableSet(acceptedFingerprints);
  }

  /**
   * Returns the configuration before the first change.
   *
   * @return version 0 without items
   */
  public static Configuration empty() {
    return EMPTY;
  }

  /**
   * Returns the version.
   *
   * @return version, 0 when nothing was configured yet
   */
  @JsonProperty("version")
  public long version() {
    return version;
  }

  /**
   * Returns the items.
   *
   * @return the items in the order in which they were first added
   */
  @JsonProperty("items")
  public List<ConfigurationItem> items() {
    return List.copyOf(items.values());
  }

  /**
   * Returns whether a service is configured.
   *
   * @param service the service
   * @return true when an item describes the service
   */
  public boolean contains(ServiceName service) {
    return items.containsKey(new ItemKey(ItemType.SERVICE, service.value()));
  }

  /**
   * Returns the fingerprints of accepted changes.
   *
   * @return the fingerprints, oldest first
   */
  @JsonProperty("accepted")
  public List<String> acceptedFingerprints() {
    return List.copyOf(acceptedFingerprints);
  }

  /**
   * Returns the configuration without what entries do not need: the fingerprints of accepted
   * changes, and the operator's documents.
   *
   * @return configuration with the same version, routes, services and limits
   */
  public Configuration forRouting() {
    List<ConfigurationItem> routingItems =
        items.values().stream().map(ConfigurationItem::withoutDocument).toList();
    return new Configuration(version, byKey(routingItems), Set.of());
  }

  /**
   * Evaluates a change against this configuration, which is not modified.
   *
   * @param change the change
   * @return the configuration after the change, or why the change does not apply
   */
  public ChangeOutcome evaluate(ConfigurationChange change) {
    if (acceptedFingerprints.contains(change.fingerprint())) {
      return new ChangeOutcome.AlreadyAccepted();
    }
    if (change.baseVersion() != version) {
      return new ChangeOutcome.Conflict(version);
    }
    if (change.version() <= version) {
      return new ChangeOutcome.Invalid(
          "version r" + change.version() + " is not above the current version r" + version);
    }
    Map<ItemKey, ConfigurationItem> next = withChange(change);
    Optional<String> violation = ConfigurationRules.firstViolation(next.values());
    if (violation.isPresent()) {
      return new ChangeOutcome.Invalid(violation.get());
    }
    return new ChangeOutcome.Applicable(
        new Configuration(change.version(), next, withAccepted(change.fingerprint())));
  }

  private Map<ItemKey, ConfigurationItem> withChange(ConfigurationChange change) {
    Map<ItemKey, ConfigurationItem> next =
        change.complete() ? new LinkedHashMap<>() : new LinkedHashMap<>(items);
    change.removals().forEach(next::remove);
    change.items().forEach(item -> next.put(item.key(), item));
    return next;
  }

  private Set<String> withAccepted(String fingerprint) {
    List<String> all = new ArrayList<>(acceptedFingerprints);
    all.add(fingerprint);
    int first = Math.max(0, all.size() - MAX_ACCEPTED_FINGERPRINTS);
    return new LinkedHashSet<>(all.subList(first, all.size()));
  }

  private static Map<ItemKey, ConfigurationItem> byKey(List<ConfigurationItem> items) {
    Map<ItemKey, ConfigurationItem> map = new LinkedHashMap<>();
    items.forEach(item -> map.put(item.key(), item));
    return map;
  }
}
