package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.InstanceId;

/**
 * Identifies a response in transit.
 *
 * @param peer instance at the other end
 * @param requestId request number assigned by the entry instance
 */
record StreamKey(InstanceId peer, long requestId) {}
