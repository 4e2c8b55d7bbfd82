package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.InstanceId;

/**
 * Key of a response under way.
 *
 * @param peer instance at the other end
 * @param requestId number of the request at the entry
 */
record StreamKey(InstanceId peer, long requestId) {}
