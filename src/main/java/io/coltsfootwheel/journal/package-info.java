/** Durable log and snapshots on disk. */
package io.coltsfootwheel.journal;
