package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ServiceName;
import java.util.Optional;

/**
 * What an entry needs to know of a caller's request to route it.
 *
 * @param requestNumber unique within the session of the entry
 * @param service service named by the caller
 * @param key bytes of the key, empty for an unkeyed request
 * @param customer customer named by the caller
 * @param idempotent true when a second execution does no harm
 * @param identity verified identity, if the caller sent one
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
