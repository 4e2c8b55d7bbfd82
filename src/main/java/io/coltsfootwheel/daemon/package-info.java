/** Wiring of reducers and drivers, and the daemon's main class. */
package io.coltsfootwheel.daemon;
