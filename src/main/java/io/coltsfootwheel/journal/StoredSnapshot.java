package io.coltsfootwheel.journal;

import io.coltsfootwheel.consensus.ReplicationSnapshot;

/**
 * Content of the snapshot file.
 *
 * @param snapshot the snapshot
 * @param firstRetainedIndex first index that still counts of the entries in the segments
 * @param firstSegment number of the first segment that still counts
 */
record StoredSnapshot(ReplicationSnapshot snapshot, long firstRetainedIndex, long firstSegment) {}
