package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;

/**
 * Registered target.
 *
 * @param id name of the target
 * @param bornMillis Unix time of the start of its process; a later one is a new life
 * @param service service that it offers
 * @param address address of its HTTP server
 * @param zone availability zone that it runs in
 * @param slots requests that it executes at the same time
 * @param phase what it last said about its life
 */
public record TargetRecord(
    TargetId id,
    long bornMillis,
    ServiceName service,
    Address address,
    AvailabilityZone zone,
    int slots,
    TargetPhase phase) {
  TargetRecord withPhase(TargetPhase next) {
    return new TargetRecord(id, bornMillis, service, address, zone, slots, next);
  }
}
