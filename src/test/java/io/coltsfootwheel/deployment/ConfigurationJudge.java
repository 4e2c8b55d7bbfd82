package io.coltsfootwheel.deployment;

import io.coltsfootwheel.deployment.Violation.Rule;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Judges the answers of entries by the versions that may be in force.
 *
 * <p>A version may be in force from its first sending on, unless it was refused. Versions are used
 * once, and each is above all earlier ones, so a confirmed version excludes all lower ones.
 */
final class ConfigurationJudge {
  private static final int DENIED_ALLOWANCE = 5;
  private static final int REQUESTS_PER_DENIED = 500;
  private static final int DENIED_OUT_OF_TOUCH_ALLOWANCE = 10;

  private final List<Change> possible;
  private final List<Change> refused;
  private final List<Probe> probes;
  private final ContactTimes contact;
  private final NavigableMap<Long, Long> newestByConfirmationMillis = new TreeMap<>();

  ConfigurationJudge(History history) {
    this.possible = history.changes().stream().filter(change -> !change.isRefused()).toList();
    this.refused = history.changes().stream().filter(Change::isRefused).toList();
    this.probes =
        history.probes().stream()
            .filter(Probe::showsConfiguration)
            .sorted(Comparator.comparingLong(Probe::sentMillis))
            .toList();
    this.contact = new ContactTimes(history.outages(), history.coreSize());
    possible.stream()
        .filter(Change::isConfirmed)
        .sorted(Comparator.comparingLong(Change::endedMillis))
        .forEach(
            change ->
                newestByConfirmationMillis.put(
                    change.endedMillis(),
                    Math.max(change.version(), newestConfirmed(change.endedMillis()))));
  }

  /** Returns the newest version that was confirmed at a time or before, or 0. */
  long newestConfirmed(long millis) {
    Map.Entry<Long, Long> newest = newestByConfirmationMillis.floorEntry(millis);
    return newest == null ? 0 : newest.getValue();
  }

  /** Returns the violations of all probes. */
  List<Violation> judge() {
    List<Violation> violations = new ArrayList<>();
    Map<String, NavigableMap<Long, Long>> effectsByBoot = effectsByBoot();
    probes.stream()
        .flatMap(probe -> judge(probe, effectsByBoot.getOrDefault(boot(probe), new TreeMap<>())))
        .forEach(violations::add);
    violations.addAll(judgeDenials());
    return violations;
  }

  private Stream<Violation> judge(Probe probe, NavigableMap<Long, Long> effects) {
    if (oldestAllowing(probe, 0).isEmpty()) {
      return unexplained(probe).stream();
    }
    long requiredVersion = requiredVersion(probe);
    if (oldestAllowing(probe, requiredVersion).isEmpty()) {
      return Stream.of(
          new Violation(Rule.CONFIG_LATE, probe + "; required is r" + requiredVersion));
    }
    Map.Entry<Long, Long> effect =
        probe.boot() == 0
            ? null
            : effects.lowerEntry(probe.sentMillis() - Bounds.ROLLBACK_SLACK_MILLIS);
    if (effect != null && oldestAllowing(probe, effect.getValue()).isEmpty()) {
      return Stream.of(
          new Violation(
              Rule.CONFIG_REGRESSED,
              "%s; r%d had effect at %d ms".formatted(probe, effect.getValue(), effect.getKey())));
    }
    return Stream.empty();
  }

  /** Returns the oldest version from a minimum on that explains the response. */
  private OptionalLong oldestAllowing(Probe probe, long minVersion) {
    return possible.stream()
        .filter(change -> change.version() >= minVersion)
        .filter(change -> change.sentMillis() <= probe.answeredMillis())
        .filter(change -> change.explains(probe))
        .mapToLong(Change::version)
        .min();
  }

  /**
   * Judges a response that no possible version explains. A single 404 of a machine out of touch is
   * only counted as a denial.
   */
  private Optional<Violation> unexplained(Probe probe) {
    Optional<Violation> refusedInForce =
        refused.stream()
            .filter(change -> change.sentMillis() <= probe.answeredMillis())
            .filter(change -> probe.isAllowedBy(change.routes()))
            .filter(change -> !probe.isNotFound() || change.base() >= firstWith(probe.route()))
            .findFirst()
            .map(change -> new Violation(Rule.CONFIG_REFUSED_IN_FORCE, probe + "; " + change));
    if (refusedInForce.isPresent()) {
      return refusedInForce;
    }
    if (!probe.isNotFound()) {
      return Optional.of(new Violation(Rule.ROUTE, probe.toString()));
    }
    return contact.isInTouch(probe.entry(), probe.sentMillis(), probe.answeredMillis())
        ? Optional.of(new Violation(Rule.CONFIG_LATE, probe + "; all versions have the route"))
        : Optional.empty();
  }

  private long firstWith(String route) {
    return possible.stream()
        .filter(change -> change.routes().containsKey(route))
        .mapToLong(Change::version)
        .min()
        .orElse(0);
  }

  /**
   * Returns the version that an answer must not fall behind: of a machine in touch after the apply
   * time, of another one that ran beside a majority of the core after the longest stretch of it.
   */
  private long requiredVersion(Probe probe) {
    long from = probe.sentMillis();
    long to = probe.answeredMillis();
    if (contact.isInTouch(probe.entry(), from, to)) {
      return newestConfirmed(from - Bounds.CONFIG_APPLY_MILLIS - 1);
    }
    long stretchedMillis = Bounds.CONFIG_APPLY_MILLIS + Bounds.MAX_STRETCH_MILLIS;
    return contact.hasRun(probe.entry(), from, to)
            && contact.hasCoreMajority(from - stretchedMillis, to)
        ? newestConfirmed(from - stretchedMillis - 1)
        : 0;
  }

  /** Returns, for each boot of an entry, the newest version seen in effect by time of answer. */
  private Map<String, NavigableMap<Long, Long>> effectsByBoot() {
    Map<String, NavigableMap<Long, Long>> effectsByBoot = new HashMap<>();
    probes.stream()
        .filter(probe -> probe.service().isPresent())
        .sorted(Comparator.comparingLong(Probe::answeredMillis))
        .forEach(
            probe -> {
              NavigableMap<Long, Long> effects =
                  effectsByBoot.computeIfAbsent(boot(probe), key -> new TreeMap<>());
              long newest = effects.isEmpty() ? 0 : effects.lastEntry().getValue();
              long seen = oldestAllowing(probe, 0).orElse(0);
              effects.put(probe.answeredMillis(), Math.max(newest, seen));
            });
    return effectsByBoot;
  }

  private static String boot(Probe probe) {
    return probe.entry() + "#" + probe.boot();
  }

  private List<Violation> judgeDenials() {
    List<Probe> denied = probes.stream().filter(this::isDenied).toList();
    List<Probe> outOfTouch =
        denied.stream()
            .filter(p -> !contact.isInTouch(p.entry(), p.sentMillis(), p.answeredMillis()))
            .toList();
    boolean isBroken =
        denied.size() > DENIED_ALLOWANCE + probes.size() / REQUESTS_PER_DENIED
            || outOfTouch.size() > DENIED_OUT_OF_TOUCH_ALLOWANCE;
    return isBroken
        ? List.of(
            new Violation(
                Rule.DENIED,
                "%d requests that all configurations allow, %d out of touch; first: %s"
                    .formatted(denied.size(), outOfTouch.size(), denied.get(0))))
        : List.of();
  }

  /** Returns whether a response is 404 though all configurations so far have the route. */
  boolean isDenied(Probe probe) {
    return probe.isNotFound()
        && possible.stream()
            .filter(change -> change.sentMillis() <= probe.answeredMillis())
            .allMatch(c -> !c.isOpaque() && c.routes().containsKey(probe.route()));
  }
}
