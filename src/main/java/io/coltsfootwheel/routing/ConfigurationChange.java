package io.coltsfootwheel.routing;

import java.util.List;

/**
 * Change of the configuration, which applies only to its base version.
 *
 * @param baseVersion version to which the change applies
 * @param version version that the change creates
 * @param fingerprint digest of the whole change request; requests with equal digests are the same
 *     change
 * @param complete true when the items replace the whole configuration
 * @param items items to add or to replace
 * @param removals keys of the items to remove; empty when the change is complete
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
