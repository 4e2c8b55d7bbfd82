/** Stand-ins for the targets, used by tests and bench scripts. */
package io.coltsfootwheel.bench;
