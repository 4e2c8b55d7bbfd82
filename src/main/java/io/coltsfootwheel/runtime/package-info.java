/** Threads on which processes decide and write to disk. */
package io.coltsfootwheel.runtime;
