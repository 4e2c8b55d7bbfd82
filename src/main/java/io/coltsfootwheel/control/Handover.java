package io.coltsfootwheel.control;

import io.coltsfootwheel.model.TargetId;

/**
 * Handover of one hash slot in progress.
 *
 * @param to receiver
 * @param index log index of the BeginHandover
 * @param forLoad true when the move balances load
 */
record Handover(TargetId to, long index, boolean forLoad) {}
