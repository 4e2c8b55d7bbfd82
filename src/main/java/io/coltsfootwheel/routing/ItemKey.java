package io.coltsfootwheel.routing;

/**
 * Identifies an item of a configuration.
 *
 * @param type kind of the item
 * @param name name among the items of that kind; empty for the limits
 */
public record ItemKey(ItemType type, String name) {}
