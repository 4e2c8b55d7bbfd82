package io.coltsfootwheel.model;

/**
 * Acknowledgement of a renewal; the lease runs from the send time of the renewal.
 *
 * @param instance the instance whose lease is extended
 * @param session session of the instance's process for which the lease is extended
 * @param sentNanos send time of the renewal on the instance's own monotonic clock
 * @param leaseMillis duration of the lease from the send time
 * @param commitIndex commit index of the leader
 */
public record RenewalAck(
    InstanceId instance, String session, long sentNanos, int leaseMillis, long commitIndex) {}
