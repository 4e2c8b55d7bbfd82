package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.TargetId;

/**
 * Change of what the leader knows of the warm-up of a target.
 *
 * @param target the target
 * @param state its state from now on
 */
public record WarmupChange(TargetId target, WarmupState state) {}
