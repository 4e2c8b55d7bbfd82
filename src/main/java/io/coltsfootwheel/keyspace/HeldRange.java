package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Fence;

/**
 * Range that a target holds or for which it still executes requests.
 *
 * @param range the keys
 * @param fence fence under which the range was granted
 */
public record HeldRange(KeyRange range, Fence fence) {}
