/** Structured log of decisions, bounded in volume and never blocking. */
package io.coltsfootwheel.eventlog;
