package io.coltsfootwheel.daemon;

import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import java.util.HashMap;
import java.util.Map;

/** Request counts of one service over an interval, or the sum over several intervals. */
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
   * Adds the counts of another interval at the same instance.
   *
   * @param other the other interval
   */
  void addInterval(ErrorBudgetWindow other) {
    answered += other.answered;
    late += other.late;
    lost += other.lost;
    notRun += other.notRun;
    unknown += other.unknown;
    refused += other.refused;
    churnSlots += other.churnSlots;
    unavailableMillis += other.unavailableMillis;
    other.answeredByTarget.forEach(
        (target, count) -> answeredByTarget.merge(target, count, Long::sum));
  }

  /**
   * Returns the counts as the record that instances send to each other.
   *
   * @param service the service
   * @param windowSeconds length of the window
   * @return the counts
   */
  ErrorBudgetCounts toCounts(ServiceName service, int windowSeconds) {
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
   * Adds the counts of another instance over the same window.
   *
   * <p>Requests are summed, since only the entry instance of a request counts it. All instances
   * observe the same ownership changes and mostly the same outages, so the maximum of these is kept
   * instead of the sum.
   *
   * @param other the counts
   */
  void mergeInstance(ErrorBudgetCounts other) {
    answered += other.answered();
    late += other.late();
    lost += other.lost();
    notRun += other.notRun();
    unknown += other.unknown();
    refused += other.refused();
    churnSlots = Math.max(churnSlots, other.churnSlots());
    unavailableMillis = Math.max(unavailableMillis, other.unavailableMillis());
    other
        .answeredByTarget()
        .forEach((target, count) -> answeredByTarget.merge(target, count, Long::sum));
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
   * Returns how unevenly the responses are spread over the targets that sent any.
   *
   * @return highest count of a target divided by the mean, 1 without any response
   */
  double imbalance() {
    long sum = answeredByTarget.values().stream().mapToLong(Long::longValue).sum();
    long max = answeredByTarget.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return sum == 0 ? 1 : (double) max * answeredByTarget.size() / sum;
  }
}
