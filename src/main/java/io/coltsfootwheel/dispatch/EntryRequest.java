package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ServiceName;
import java.util.Optional;

/**
 * Properties of a caller's request that an entry needs for routing.
 *
 * @param requestNumber unique within the session of the entry
 * @param service service named by the caller
 * @param key bytes of the key, empty when the caller sent none
 * @param customer customer named by the caller
 * @param idempotent true when the caller declared that the request may be executed more than once
 * @param identity parsed identity, if the caller sent a valid one
 * @param deadlineNanos deadline on the monotonic clock of the entry
 */
public record EntryRequest(
    long requestNumber,
    ServiceName service,
    Optional<byte[]> key,
    Optional<CustomerId> customer,
    boolean idempotent,
    Optional<RequestIdentity> identity,
    long deadlineNanos) {}
