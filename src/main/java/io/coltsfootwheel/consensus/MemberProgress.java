package io.coltsfootwheel.consensus;

/**
 * What the leader knows of one member.
 *
 * @param member the member
 * @param voter false for a learner
 * @param matchIndex highest log index that the member is known to hold
 * @param heard true when it answered within the minimum election timeout
 */
public record MemberProgress(MemberId member, boolean voter, long matchIndex, boolean heard) {}
