package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.ReplicationSnapshot;

/**
 * Content of the snapshot file.
 *
 * @param snapshot the snapshot
 * @param firstRetainedIndex entries in the segments with lower indexes are ignored
 * @param firstSegment number of the first segment to read; earlier ones are deleted
 */
record StoredSnapshot(ReplicationSnapshot snapshot, long firstRetainedIndex, long firstSegment) {}
