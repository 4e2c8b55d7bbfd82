/** Structured event log with a bounded queue; writing an event never blocks. */
package io.coltsfootwheel.eventlog;
