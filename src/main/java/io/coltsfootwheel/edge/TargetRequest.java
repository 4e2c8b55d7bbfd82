package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import java.util.List;
import java.util.Optional;

/**
 * Request that a dispatcher sends to a target.
 *
 * @param requestId unique id by which the target can cancel the request
 * @param fence dispatch fence
 * @param hashSlot hash slot of the key, -1 for an unkeyed service
 * @param deadlineMillis time that remains until the deadline
 * @param identity request identity, if given
 * @param method HTTP method
 * @param uri path and query, starting with a slash
 * @param headers end-to-end headers
 * @param body the complete body
 */
public record TargetRequest(
    String requestId,
    long fence,
    int hashSlot,
    long deadlineMillis,
    Optional<String> identity,
    String method,
    String uri,
    List<Header> headers,
    byte[] body) {}
