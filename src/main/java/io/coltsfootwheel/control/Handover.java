package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetId;

/**
 * Handover of one hash slot in progress.
 *
 * @param to target that becomes the owner
 * @param index log index of the BeginHandover command
 * @param forLoad true when the move balances load
 */
record Handover(TargetId to, long index, boolean forLoad) {}
