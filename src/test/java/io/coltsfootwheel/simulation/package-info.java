/** Deterministic in-memory simulation of a replication group with network and disk faults. */
package io.coltsfootwheel.simulation;
