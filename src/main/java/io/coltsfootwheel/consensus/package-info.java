/** Replicated log: election, replication and membership as a pure reducer. */
package io.coltsfootwheel.consensus;
