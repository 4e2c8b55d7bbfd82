package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;

/** Counts of one service over one interval; also the sum over several intervals. */
final class BurnWindow {
  private long answered;
  private long late;
  private long lost;
  private long notRun;
  private long unknown;
  private long churnSlots;
  private long unavailableMillis;
  private final Map<TargetId, Long> answeredByTarget = new HashMap<>();

  void addAnswered(TargetId target, boolean isLate) {
    if (isLate) {
      late++;
    } else {
      answered++;
    }
    answeredByTarget.merge(target, 1L, Long::sum);
  }

  void addLost() {
    lost++;
  }

  void addNotRun() {
    notRun++;
    lost++;
  }

  void addUnknown() {
    unknown++;
    lost++;
  }

  void addChurn(long slots) {
    churnSlots += slots;
  }

  void addUnavailable(long millis) {
    unavailableMillis += millis;
  }

  /**
   * Adds another interval to this one.
   *
   * @param other the other interval
   */
  void add(BurnWindow other) {
    answered += other.answered;
    late += other.late;
    lost += other.lost;
    notRun += other.notRun;
    unknown += other.unknown;
    churnSlots += other.churnSlots;
    unavailableMillis += other.unavailableMillis;
    other.answeredByTarget.forEach((t, count) -> answeredByTarget.merge(t, count, Long::sum));
  }

  long answered() {
    return answered;
  }

  long late() {
    return late;
  }

  long lost() {
    return lost;
  }

  long notRun() {
    return notRun;
  }

  long unknown() {
    return unknown;
  }

  long churnSlots() {
    return churnSlots;
  }

  long unavailableMillis() {
    return unavailableMillis;
  }

  /**
   * Returns the imbalance between the targets that answered.
   *
   * @return highest count of answers over the mean, 1 when there were none
   */
  double imbalance() {
    long sum = answeredByTarget.values().stream().mapToLong(Long::longValue).sum();
    long max = answeredByTarget.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return sum == 0 ? 1 : (double) max * answeredByTarget.size() / sum;
  }
}
