package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;

/** Counts of one service over one interval; also the sum over several intervals. */
final class ErrorBudgetWindow {
  private long answered;
  private long late;
  private long lost;
  private long notRun;
  private long unknown;
  private long refused;
  private long churnSlots;
  private long unavailableMillis;
  private final Map<String, Long> answeredByTarget = new HashMap<>();

  void addAnswered(TargetId target, boolean isLate) {
    if (isLate) {
      late++;
    } else {
      answered++;
    }
    answeredByTarget.merge(target.value(), 1L, Long::sum);
  }

  void addLost() {
    lost++;
  }

  void addNotRun() {
    notRun++;
    lost++;
  }

  void addRefused() {
    refused++;
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
  void add(ErrorBudgetWindow other) {
    answered += other.answered;
    late += other.late;
    lost += other.lost;
    notRun += other.notRun;
    unknown += other.unknown;
    refused += other.refused;
    churnSlots += other.churnSlots;
    unavailableMillis += other.unavailableMillis;
    other.answeredByTarget.forEach((t, count) -> answeredByTarget.merge(t, count, Long::sum));
  }

  /**
   * Returns the counts in the form that instances exchange.
   *
   * @param service the service
   * @param windowSeconds length of the window
   * @return the counts
   */
  ErrorBudgetCounts counts(ServiceName service, int windowSeconds) {
    return new ErrorBudgetCounts(
        service,
        windowSeconds,
        answered,
        late,
        lost,
        notRun,
        unknown,
        refused,
        churnSlots,
        unavailableMillis,
        answeredByTarget);
  }

  /**
   * Adds the counts of an instance over the same window.
   *
   * <p>Requests are summed, since each is counted by its entry alone. All instances see the same
   * ownership changes and mostly the same outages, so of these the highest value is kept.
   *
   * @param other the counts
   */
  void merge(ErrorBudgetCounts other) {
    answered += other.answered();
    late += other.late();
    lost += other.lost();
    notRun += other.notRun();
    unknown += other.unknown();
    refused += other.refused();
    churnSlots = Math.max(churnSlots, other.churnSlots());
    unavailableMillis = Math.max(unavailableMillis, other.unavailableMillis());
    other.answeredByTarget().forEach((t, count) -> answeredByTarget.merge(t, count, Long::sum));
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

  long refused() {
    return refused;
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
