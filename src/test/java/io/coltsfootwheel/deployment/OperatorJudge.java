package io.coltsfootwheel.deployment;

import io.coltsfootwheel.deployment.Change.Kind;
import io.coltsfootwheel.deployment.Violation.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Judges what the operator saw: answers to changes, and reads of the configuration. */
final class OperatorJudge {
  private final History history;
  private final ContactTimes contact;
  private final ConfigurationJudge configurations;

  OperatorJudge(History history) {
    this.history = history;
    this.contact = new ContactTimes(history.outages(), history.coreSize());
    this.configurations = new ConfigurationJudge(history);
  }

  List<Violation> judge() {
    List<Violation> violations = new ArrayList<>();
    history.changes().stream().flatMap(this::judgeAnswer).forEach(violations::add);
    violations.addAll(judgeBases());
    history.reads().stream().flatMap(this::judgeRead).forEach(violations::add);
    return violations;
  }

  private Stream<Violation> judgeAnswer(Change change) {
    return switch (change.kind()) {
      case INVALID, STALE ->
          change.isConfirmed() ? violation(Rule.CONFIG_ACKNOWLEDGED, change) : Stream.empty();
      case REPEATED ->
          change.isRefused() ? violation(Rule.CONFIG_REPEAT_REFUSED, change) : Stream.empty();
      case PROPER -> judgeProper(change);
      case RACING -> Stream.empty();
    };
  }

  private Stream<Violation> judgeProper(Change change) {
    if (change.isRefused()) {
      return violation(Rule.ACKS, change);
    }
    long boundMillis =
        Bounds.ACK_TIMEOUT_MILLIS + Bounds.ACK_MILLIS_PER_ROUTE * change.routes().size();
    long stableMillis = contact.longestStableMillis(change.sentMillis(), change.endedMillis());
    return stableMillis > boundMillis
        ? Stream.of(new Violation(Rule.ACKS, change + "; stable for " + stableMillis + " ms of it"))
        : Stream.empty();
  }

  private static Stream<Violation> violation(Rule rule, Change change) {
    return Stream.of(new Violation(rule, change.toString()));
  }

  private List<Violation> judgeBases() {
    Map<Long, List<Change>> byBase =
        history.changes().stream()
            .filter(change -> change.isConfirmed() && change.kind() != Kind.REPEATED)
            .collect(Collectors.groupingBy(Change::base));
    return byBase.values().stream()
        .filter(changes -> changes.size() > 1)
        .map(changes -> new Violation(Rule.CONFIG_ACKNOWLEDGED, "on one version: " + changes))
        .toList();
  }

  private Stream<Violation> judgeRead(ConfigurationRead read) {
    if (!read.isAnswered()) {
      return read.isFinal()
          ? Stream.of(new Violation(Rule.CONFIG_READ, read.toString()))
          : Stream.empty();
    }
    long required =
        configurations.newestConfirmed(read.sentMillis() - Bounds.CONFIG_APPLY_MILLIS - 1);
    if (read.version() < required) {
      Rule rule = read.isFinal() ? Rule.LOST : Rule.CONFIG_READ;
      return Stream.of(new Violation(rule, read + "; confirmed is r" + required));
    }
    return judgeContents(read);
  }

  /** Compares the contents with what was sent; those of an invalid change are not defined. */
  private Stream<Violation> judgeContents(ConfigurationRead read) {
    List<Change> sent =
        history.changes().stream().filter(c -> c.version() == read.version()).toList();
    if (sent.isEmpty()) {
      return Stream.of(new Violation(Rule.CONFIG_READ, read + "; this version was never sent"));
    }
    if (sent.stream().allMatch(Change::isRefused)) {
      return Stream.of(new Violation(Rule.CONFIG_REFUSED_IN_FORCE, read + "; " + sent));
    }
    boolean isAsSent =
        sent.stream()
            .filter(change -> !change.isRefused())
            .anyMatch(c -> c.isOpaque() || c.routes().equals(read.routes()));
    return isAsSent
        ? Stream.empty()
        : Stream.of(
            new Violation(
                Rule.CONFIG_READ,
                "%s; other routes than sent: read %s, newest sent %s"
                    .formatted(
                        read,
                        read.routes(),
                        sent.stream().max(Comparator.comparingLong(Change::sentMillis)).get())));
  }
}
