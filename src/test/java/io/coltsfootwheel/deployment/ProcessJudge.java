package io.coltsfootwheel.deployment;

import io.coltsfootwheel.deployment.Violation.Rule;
import java.util.List;
import java.util.Optional;

/**
 * Judges starts and ends of processes. An entry is ready only while there is a leader, so only time
 * of stable core counts.
 */
final class ProcessJudge {
  private final List<ProcessStart> starts;
  private final ContactTimes contact;

  ProcessJudge(History history) {
    this.starts = history.starts();
    this.contact = new ContactTimes(history.outages(), history.coreSize());
  }

  List<Violation> judge() {
    return starts.stream().map(this::judge).flatMap(Optional::stream).toList();
  }

  private Optional<Violation> judge(ProcessStart start) {
    if (start.endedMillis().isPresent()) {
      return Optional.of(new Violation(Rule.FAULT, "ended by itself: " + start));
    }
    long readyMillis = start.readyMillis().orElse(start.watchedUntilMillis());
    return contact.longestStableMillis(start.startedMillis(), readyMillis) > Bounds.START_MILLIS
        ? Optional.of(new Violation(Rule.FAULT, "not ready in time: " + start))
        : Optional.empty();
  }
}
