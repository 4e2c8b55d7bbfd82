package io.coltsfootwheel.consensus;

/**
 * Replication progress of one member, as the leader reports it.
 *
 * @param member the member
 * @param voter false for a learner
 * @param matchIndex highest log index that the member is known to hold
 * @param heard true for the leader itself, and for a member that responded, or that the leader
 *     began to track, within the minimum election timeout
 */
public record MemberProgress(MemberId member, boolean voter, long matchIndex, boolean heard) {}
