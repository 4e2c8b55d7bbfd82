package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.CustomerId;
import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One attempt of an entry to have a caller's request executed by a target.
 *
 * @param requestId id of the attempt, unique over all entries, sessions and attempts; {@link
 *     EntryRouter} generates it
 * @param service service of the request
 * @param target target that the entry chose
 * @param hashSlot hash slot of the key, empty for an unkeyed service
 * @param customer customer of the request, if the caller named one
 * @param idempotent true when the request may be executed more than once
 * @param identity parsed identity of the request, if the caller sent a valid one
 * @param deadlineNanos deadline on the monotonic clock of the dispatching instance
 * @param fence dispatch fence of the target in the view of the entry
 * @param entryAppliedIndex log index up to which the entry had applied commands
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
