/** Replicated control state, and the leader-side supervisor and placement that change it. */
package io.coltsfootwheel.control;
