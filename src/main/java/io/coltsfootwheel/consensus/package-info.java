/**
 * Replicated log: leader election, log replication and group membership as a reducer without I/O.
 */
package io.coltsfootwheel.consensus;
