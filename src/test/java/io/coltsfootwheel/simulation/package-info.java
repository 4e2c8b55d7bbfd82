/** Deterministic in-memory simulation of a replication group with failing links and disks. */
package io.coltsfootwheel.simulation;
