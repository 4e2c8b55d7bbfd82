package io.coltsfootwheel.routing;

/**
 * Identifies an item of a configuration.
 *
 * @param type type of the item
 * @param name name that is unique among items of that type; empty for the limits
 */
public record ItemKey(ItemType type, String name) {}
