package io.coltsfootwheel.simulation;

import io.coltsfootwheel.consensus.MemberId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records what members report and detects violations of the safety properties. */
public final class SafetyChecker {
  private static final int MAX_VIOLATIONS = 10;

  private final List<String> violations = new ArrayList<>();
  private final Map<Long, MemberId> leaderByTerm = new HashMap<>();
  private final TreeMap<Long, Long> hashByIndex = new TreeMap<>();
  private long readyTerm;

  public List<String> violations() {
    return List.copyOf(violations);
  }

  public void recordViolation(String text) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(text);
    }
  }

  public void recordLeader(MemberId member, long term) {
    MemberId earlier = leaderByTerm.putIfAbsent(term, member);
    if (earlier != null && !earlier.equals(member)) {
      recordViolation("term " + term + " has two leaders, " + earlier + " and " + member);
    }
  }

  /** Checks that a ready leader has applied everything that was committed before its term. */
  public void recordReadyLeader(MemberId member, long term, long appliedIndex) {
    if (term > readyTerm) {
      readyTerm = term;
      if (committedIndex() > appliedIndex) {
        recordViolation(
            member
                + " is ready in term "
                + term
                + " with applied index "
                + appliedIndex
                + ", below committed index "
                + committedIndex());
      }
    }
  }

  /** Returns the highest term in which a leader became ready. */
  public long readyTerm() {
    return readyTerm;
  }

  public long committedIndex() {
    return hashByIndex.isEmpty() ? 0 : hashByIndex.lastKey();
  }

  public void recordApplied(MemberId member, long index, long hash) {
    Long earlier = hashByIndex.putIfAbsent(index, hash);
    if (earlier != null && earlier != hash) {
      recordViolation(member + " applied a different sequence of entries up to index " + index);
    }
  }

  /** Checks that a leader deposed before the request did not confirm its leadership. */
  public void checkConfirmation(MemberId member, long term, long readyTermAtRequest) {
    if (term < readyTermAtRequest) {
      recordViolation(
          member
              + " confirmed leadership in term "
              + term
              + " although a leader was ready in term "
              + readyTermAtRequest);
    }
  }
}
