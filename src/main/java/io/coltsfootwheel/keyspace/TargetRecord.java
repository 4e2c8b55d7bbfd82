package io.coltsfootwheel.keyspace;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;

/**
 * Registered target.
 *
 * @param id identifier of the target
 * @param incarnationMillis Unix time of the start of its process, which identifies the incarnation
 * @param service service that it offers
 * @param address address of its HTTP server
 * @param zone availability zone that it runs in
 * @param slots requests that it executes at the same time
 * @param phase phase that it reported last
 */
public record TargetRecord(
    TargetId id,
    long incarnationMillis,
    ServiceName service,
    Address address,
    AvailabilityZone zone,
    int slots,
    TargetPhase phase) {
  TargetRecord withPhase(TargetPhase next) {
    return new TargetRecord(id, incarnationMillis, service, address, zone, slots, next);
  }
}
