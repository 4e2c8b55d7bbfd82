/**
 * Decisions under load: limits of targets, division of a rate among entries, order of service when
 * capacity is short, choice between targets. Knows no connection, message, clock or platform.
 */
package io.coltsfootwheel.loadcontrol;
