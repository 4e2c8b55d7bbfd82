/**
 * The daemon: its main class, the reducers that decide, and the drivers that execute their
 * decisions.
 */
package io.coltsfootwheel.daemon;
