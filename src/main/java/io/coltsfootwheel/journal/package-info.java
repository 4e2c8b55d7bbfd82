/** Journal: replicated log, hard state and snapshots of a member on disk. */
package io.coltsfootwheel.journal;
