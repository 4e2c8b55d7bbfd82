package io.coltsfootwheel.tool;

import java.io.PrintStream;

/**
 * Streams that a command writes to.
 *
 * @param out results
 * @param err faults and progress
 */
record Console(PrintStream out, PrintStream err) {}
