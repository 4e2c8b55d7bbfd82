/**
 * Replicated control state, and the supervisor of the control leader that decides which commands
 * change it, among them the placement of hash slots on targets.
 */
package io.coltsfootwheel.control;
