package io.coltsfootwheel.control;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.InstanceId;

/**
 * Right of one instance to dispatch to one target, valid while the instance holds its lease.
 *
 * @param holder the instance
 * @param session session of its process; a restarted process does not hold the grant
 * @param fence log index of the grant
 */
public record DispatchGrant(InstanceId holder, String session, Fence fence) {}
