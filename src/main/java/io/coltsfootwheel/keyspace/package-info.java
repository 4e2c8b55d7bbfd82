/** Ownership of numeric key ranges, leased to targets in the answers to their reports. */
package io.coltsfootwheel.keyspace;
