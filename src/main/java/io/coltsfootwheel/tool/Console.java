package io.coltsfootwheel.tool;

import java.io.PrintStream;

/**
 * Output streams of a subcommand.
 *
 * @param out standard output, for results
 * @param err standard error, for faults and progress
 */
record Console(PrintStream out, PrintStream err) {}
