package io.coltsfootwheel.tool;

/**
 * Execution of a request at a target, as written to one line of an executions file.
 *
 * @param epochMicros wall-clock time at which the execution began
 * @param target id of the target
 * @param requestId request id that the router assigned
 * @param loadRequest id that the load driver assigned, empty for requests of other callers
 * @param identity request identity, empty for none
 * @param fence dispatch fence sent with the request
 * @param hashSlot hash slot, -1 for an unkeyed request
 */
record ExecutionRecord(
    long epochMicros,
    String target,
    String requestId,
    String loadRequest,
    String identity,
    long fence,
    int hashSlot) {}
