package io.coltsfootwheel.tool;

/**
 * One execution at a target; one line of an executions file.
 *
 * @param epochMicros wall-clock time at which the execution began
 * @param target the target
 * @param requestId identifier that the router gave
 * @param loadRequest identifier that the load driver gave, empty for other callers
 * @param identity request identity, empty for none
 * @param fence dispatch fence of the request
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
