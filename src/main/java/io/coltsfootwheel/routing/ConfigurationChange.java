package io.coltsfootwheel.routing;

import java.util.List;

/**
 * Conditional change of the configuration.
 *
 * @param baseVersion version on which the change builds
 * @param version version that the change creates
 * @param fingerprint digest of the whole order; equal orders are one change
 * @param complete true when the items replace the whole configuration
 * @param items items to add or to replace
 * @param removals items to remove; empty when the change is complete
 */
public record ConfigurationChange(
    long baseVersion,
    long version,
    String fingerprint,
    boolean complete,
    List<ConfigurationItem> items,
    List<ItemKey> removals) {
  /** Copies the lists. */
  public ConfigurationChange {
    items = List.copyOf(items);
    removals = List.copyOf(removals);
  }
}
