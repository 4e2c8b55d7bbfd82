package io.coltsfootwheel.simulation;

import io.coltsfootwheel.consensus.MemberId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Records what members announce and finds contradictions. */
public final class SafetyChecker {
  private static final int MAX_VIOLATIONS = 10;

  private final List<String> violations = new ArrayList<>();
  private final Map<Long, MemberId> leaderOfTerm = new HashMap<>();
  private final TreeMap<Long, Long> hashAtIndex = new TreeMap<>();
  private long readyTerm;

  public List<String> violations() {
    return List.copyOf(violations);
  }

  public void violation(String text) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(text);
    }
  }

  public void leads(MemberId member, long term) {
    MemberId other = leaderOfTerm.putIfAbsent(term, member);
    if (other != null && !other.equals(member)) {
      violation("term " + term + " has leaders " + other + " and " + member);
    }
  }

  /** A ready leader holds everything that was committed before its term. */
  public void ready(MemberId member, long term, long appliedIndex) {
    if (term > readyTerm) {
      readyTerm = term;
      if (committedIndex() > appliedIndex) {
        violation(
            member + " leads term " + term + " at " + appliedIndex + " < " + committedIndex());
      }
    }
  }

  /** Returns the highest term of a leader that has committed an entry of its own term. */
  public long readyTerm() {
    return readyTerm;
  }

  public long committedIndex() {
    return hashAtIndex.isEmpty() ? 0 : hashAtIndex.lastKey();
  }

  public void applied(MemberId member, long index, long hash) {
    Long other = hashAtIndex.putIfAbsent(index, hash);
    if (other != null && other != hash) {
      violation(member + " applied a different sequence up to " + index);
    }
  }

  /** A leader deposed before the question was asked may not confirm it. */
  public void confirmed(MemberId member, long term, long readyTermWhenAsked) {
    if (term < readyTermWhenAsked) {
      violation(member + " confirmed term " + term + " after term " + readyTermWhenAsked);
    }
  }
}
