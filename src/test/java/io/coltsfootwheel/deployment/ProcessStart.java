package io.coltsfootwheel.deployment;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Start of a process and what became of it.
 *
 * @param machine name of the machine
 * @param boot number of the start on this machine
 * @param startedMillis time of the start
 * @param readyMillis time at which the process was first seen to be ready
 * @param endedMillis time at which the process was seen to have ended by itself
 * @param exitStatus its exit status, if it ended by itself
 * @param watchedUntilMillis time until which the run watched it: its outage, or the end of the run
 */
record ProcessStart(
    String machine,
    int boot,
    long startedMillis,
    OptionalLong readyMillis,
    OptionalLong endedMillis,
    OptionalInt exitStatus,
    long watchedUntilMillis) {}
