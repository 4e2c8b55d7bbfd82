package io.coltsfootwheel.routing;

/**
 * How the targets of a service warm up.
 *
 * @param seconds time for which a target is cold after its start; targets report the time that is
 *     left, which decides
 * @param requestsPerSecond requests per second that a cold target sustains
 */
public record WarmupPolicy(double seconds, double requestsPerSecond) {}
