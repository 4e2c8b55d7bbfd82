package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.ServiceName;
import java.util.List;
import java.util.Optional;

/**
 * Validated request of a caller with its complete body.
 *
 * @param requestId number that is unique in this process
 * @param service the service
 * @param key the key, 1 to 256 bytes, if given
 * @param customer the customer, if given
 * @param identity the request identity, at most 128 bytes, if given
 * @param idempotent true when the request may be executed more than once
 * @param deadlineMillis time until the deadline, counted from {@code receivedNanos}
 * @param receivedNanos {@code System.nanoTime()} when the head arrived
 * @param method HTTP method
 * @param uri path and query for the target, starting with a slash
 * @param headers end-to-end headers without those that the router interprets
 * @param body the body, empty for none; must not be modified
 */
public record CallerRequest(
    long requestId,
    ServiceName service,
    Optional<String> key,
    Optional<CustomerId> customer,
    Optional<String> identity,
    boolean idempotent,
    long deadlineMillis,
    long receivedNanos,
    String method,
    String uri,
    List<Header> headers,
    byte[] body) {}
