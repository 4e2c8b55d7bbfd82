package io.coltsfootwheel.deployment;

import io.coltsfootwheel.deployment.Violation.Rule;
import java.util.List;
import java.util.Optional;

/** Judges starts and ends of processes. */
final class ProcessJudge {
  private final List<ProcessStart> starts;

  ProcessJudge(History history) {
    this.starts = history.starts();
  }

  List<Violation> judge() {
    return starts.stream().map(ProcessJudge::judge).flatMap(Optional::stream).toList();
  }

  private static Optional<Violation> judge(ProcessStart start) {
    if (start.endedMillis().isPresent()) {
      return Optional.of(new Violation(Rule.FAULT, "ended by itself: " + start));
    }
    long readyMillis = start.readyMillis().orElse(start.watchedUntilMillis());
    return readyMillis - start.startedMillis() > Bounds.START_MILLIS
        ? Optional.of(new Violation(Rule.FAULT, "not ready in time: " + start))
        : Optional.empty();
  }
}
