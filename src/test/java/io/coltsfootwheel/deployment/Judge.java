package io.coltsfootwheel.deployment;

import java.util.List;
import java.util.stream.Stream;

/** Judges a recorded run by the rules that its callers and its operator can check. */
final class Judge {
  private Judge() {}

  static List<Violation> judge(History history) {
    return Stream.of(
            new ConfigurationJudge(history).judge(),
            new OperatorJudge(history).judge(),
            new ProcessJudge(history).judge())
        .flatMap(List::stream)
        .toList();
  }
}
