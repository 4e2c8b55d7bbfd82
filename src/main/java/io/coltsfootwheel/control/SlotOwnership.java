package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetId;
import java.util.Optional;

/**
 * Ownership of one hash slot.
 *
 * @param owner the owning target
 * @param fence log index at which the target became the owner
 * @param handoverTo target that becomes the owner once the present owner has released the hash
 *     slot; empty when no handover is in progress
 */
public record SlotOwnership(TargetId owner, Fence fence, Optional<TargetId> handoverTo) {}
