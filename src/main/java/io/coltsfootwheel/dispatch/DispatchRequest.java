package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One attempt of an entry to have a request executed by a target.
 *
 * @param requestId unique over all entries, sessions and attempts; {@link EntryRouter} makes it
 * @param service service of the request
 * @param target target that the entry chose
 * @param hashSlot hash slot of the key, empty for an unkeyed service
 * @param customer customer of the request, if named
 * @param idempotent true when a second execution does no harm
 * @param identity verified identity of the request, if the caller sent one
 * @param deadlineNanos deadline on the monotonic clock of the dispatching instance
 * @param fence dispatch fence of the target as the entry knew it
 * @param entryAppliedIndex log index that the entry had applied
 */
public record DispatchRequest(
    String requestId,
    ServiceName service,
    TargetId target,
    OptionalInt hashSlot,
    Optional<CustomerId> customer,
    boolean idempotent,
    Optional<RequestIdentity> identity,
    long deadlineNanos,
    Fence fence,
    long entryAppliedIndex) {}
