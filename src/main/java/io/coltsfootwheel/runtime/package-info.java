/** Threads that process events and write the journal. */
package io.coltsfootwheel.runtime;
