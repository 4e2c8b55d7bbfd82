package io.coltsfootwheel.deployment;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.deployment.Change.Kind;
import io.coltsfootwheel.deployment.Violation.Rule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Plants one violation of each kind in a history, and allowed answers beside them. */
class JudgeTest {
  private static final Map<String, String> OLD = Map.of("kept", "a", "moved", "a", "removed", "a");
  private static final Map<String, String> NEW = Map.of("kept", "a", "moved", "b", "added", "a");

  /** Version 1 is confirmed at 10.1 s, and version 5 at 20.1 s. */
  private static final Change FIRST = change(1, 0, Kind.PROPER, OLD, 10_000, 200);

  private static final Change SECOND = change(5, 1, Kind.PROPER, NEW, 20_000, 200);

  private final List<Change> changes = new ArrayList<>(List.of(FIRST, SECOND));
  private final List<Probe> probes = new ArrayList<>();
  private final List<ConfigurationRead> reads = new ArrayList<>();
  private final List<Outage> outages = new ArrayList<>();
  private final List<ProcessStart> starts = new ArrayList<>();

  private static Change change(
      long version, long base, Kind kind, Map<String, String> routes, long sentMillis, int status) {
    return new Change(version, base, kind, "test", routes, sentMillis, sentMillis + 100, status);
  }

  private static Probe served(String route, String service, long sentMillis) {
    return new Probe("edge", 1, route, 200, Optional.of(service), sentMillis, sentMillis + 30);
  }

  private static Probe notFound(String route, long sentMillis) {
    return new Probe("edge", 1, route, 404, Optional.empty(), sentMillis, sentMillis + 10);
  }

  private static Probe unavailable(String route, long sentMillis) {
    return new Probe("edge", 1, route, 503, Optional.empty(), sentMillis, sentMillis + 10);
  }

  private static ConfigurationRead read(
      long version, Map<String, String> routes, long sentMillis, boolean isFinal) {
    return new ConfigurationRead("core-0", 200, version, routes, sentMillis, isFinal);
  }

  private void corePause(int machine, long beginMillis, long endMillis) {
    outages.add(new Outage("core-" + machine, true, "pause", beginMillis, endMillis));
  }

  private void assertRules(Rule... rules) {
    History history = new History(changes, probes, reads, outages, starts, 5);
    assertThat(Judge.judge(history)).extracting(Violation::rule).containsExactly(rules);
  }

  @Test
  void answersOfEitherVersionAreAllowedWithinTheApplyTime() {
    probes.add(served("removed", "a", 22_100));
    probes.add(notFound("added", 22_100));
    probes.add(served("moved", "b", 22_100));
    probes.add(unavailable("added", 30_000));
    assertRules();
  }

  @Test
  void findsAnswersOfAnOldVersionAfterTheApplyTime() {
    probes.add(served("removed", "a", 22_101));
    probes.add(notFound("added", 22_101));
    probes.add(served("moved", "a", 22_101));
    assertRules(Rule.CONFIG_LATE, Rule.CONFIG_LATE, Rule.CONFIG_LATE);
  }

  @Test
  void findsA404ForARouteOfAllVersions() {
    probes.add(notFound("kept", 21_000));
    assertRules(Rule.CONFIG_LATE);
  }

  @Test
  void machineOutOfTouchMayAnswerByAnOldVersion() {
    outages.add(new Outage("edge", false, "pause", 19_000, 21_000));
    probes.add(notFound("added", 24_000));
    assertRules();
  }

  @Test
  void machineIsInTouchAgainAfterTheContactWindow() {
    outages.add(new Outage("edge", false, "pause", 19_000, 21_000));
    probes.add(notFound("added", 24_001));
    assertRules(Rule.CONFIG_LATE);
  }

  @Test
  void unstableCoreStretchesTheApplyTime() {
    IntStream.range(0, 8).forEach(i -> corePause(0, 20_000 + i * 2_000, 21_000 + i * 2_000));
    probes.add(notFound("added", 27_100));
    assertRules();
    probes.add(notFound("added", 27_101));
    assertRules(Rule.CONFIG_LATE);
  }

  @Test
  void applyTimeHasNoBoundWithoutAMajorityOfTheCore() {
    IntStream.range(0, 3).forEach(i -> corePause(i, 21_000, 40_000));
    probes.add(notFound("added", 35_000));
    assertRules();
  }

  @Test
  void coreThatIsDownInPartBecomesStable() {
    corePause(0, 21_000, 60_000);
    corePause(1, 21_000, 60_000);
    probes.add(notFound("added", 24_001));
    assertRules(Rule.CONFIG_LATE);
  }

  @Test
  void findsAMachineThatRegresses() {
    outages.add(new Outage("edge", false, "pause", 18_000, 19_000));
    probes.add(served("moved", "b", 20_050));
    probes.add(served("removed", "a", 20_330));
    assertRules();
    probes.add(served("removed", "a", 20_331));
    assertRules(Rule.CONFIG_REGRESSED);
  }

  @Test
  void newBootMayBeginWithAnOldVersion() {
    probes.add(served("moved", "b", 20_050));
    probes.add(new Probe("edge", 2, "removed", 200, Optional.of("a"), 21_000, 21_030));
    assertRules();
  }

  @Test
  void findsARefusedChangeInForce() {
    Map<String, String> routes = Map.of("kept", "a", "stale", "a");
    changes.add(change(7, 1, Kind.STALE, routes, 21_000, 412));
    probes.add(served("stale", "a", 25_000));
    reads.add(read(7, routes, 25_000, false));
    assertRules(Rule.CONFIG_REFUSED_IN_FORCE, Rule.CONFIG_REFUSED_IN_FORCE);
  }

  @Test
  void findsARequestRunByAServiceOfNoVersion() {
    probes.add(served("kept", "b", 21_000));
    assertRules(Rule.ROUTE);
  }

  @Test
  void findsManyDenialsOutOfTouch() {
    outages.add(new Outage("edge", false, "pause", 19_000, 40_000));
    IntStream.range(0, 5).forEach(i -> probes.add(notFound("kept", 21_000 + i)));
    assertRules();
    IntStream.range(5, 11).forEach(i -> probes.add(notFound("kept", 21_000 + i)));
    assertRules(Rule.DENIED);
  }

  @Test
  void findsAReadOfAnOldVersionAtAnyMachine() {
    outages.add(new Outage("core-0", true, "pause", 21_000, 22_000));
    reads.add(read(1, OLD, 22_100, false));
    assertRules();
    reads.add(read(1, OLD, 22_101, false));
    assertRules(Rule.CONFIG_READ);
  }

  @Test
  void findsReadsOfOtherContentsAndOfAnUnknownVersion() {
    reads.add(read(5, OLD, 25_000, false));
    reads.add(read(6, NEW, 25_000, false));
    assertRules(Rule.CONFIG_READ, Rule.CONFIG_READ);
  }

  @Test
  void findsALostChangeAndAReadWithoutAnAnswerAtTheEnd() {
    reads.add(read(1, OLD, 40_000, true));
    reads.add(new ConfigurationRead("core-1", 503, 0, Map.of(), 40_000, true));
    reads.add(new ConfigurationRead("core-1", 503, 0, Map.of(), 40_000, false));
    assertRules(Rule.LOST, Rule.CONFIG_READ);
  }

  @Test
  void findsAcknowledgedInvalidAndStaleChangesAndTwoOnOneVersion() {
    changes.add(change(7, 5, Kind.INVALID, NEW, 30_000, 200));
    changes.add(change(9, 4, Kind.STALE, NEW, 31_000, 200));
    changes.add(change(11, 9, Kind.RACING, NEW, 32_000, 200));
    changes.add(change(12, 9, Kind.RACING, NEW, 32_000, 200));
    assertRules(Rule.CONFIG_ACKNOWLEDGED, Rule.CONFIG_ACKNOWLEDGED, Rule.CONFIG_ACKNOWLEDGED);
  }

  @Test
  void findsARefusedRepetition() {
    changes.add(change(5, 1, Kind.REPEATED, NEW, 21_000, 200));
    assertRules();
    changes.add(change(5, 1, Kind.REPEATED, NEW, 21_000, 412));
    assertRules(Rule.CONFIG_REPEAT_REFUSED);
  }

  @Test
  void findsAProperChangeThatIsRefusedOrNotAnsweredInTime() {
    changes.add(change(7, 5, Kind.PROPER, NEW, 30_000, 412));
    changes.add(new Change(9, 5, Kind.PROPER, "slow", NEW, 31_000, 35_010, 200));
    assertRules(Rule.ACKS, Rule.ACKS);
  }

  @Test
  void slowAnswersAreAllowedWithoutAStretchOfStableCore() {
    corePause(0, 32_000, 33_000);
    changes.add(new Change(9, 5, Kind.PROPER, "slow", NEW, 29_000, 39_000, 200));
    assertRules();
    changes.add(new Change(11, 9, Kind.PROPER, "slow", NEW, 31_000, 40_100, 200));
    assertRules(Rule.ACKS);
  }

  @Test
  void findsProcessesThatEndOrAreNotReady() {
    ProcessStart ready =
        new ProcessStart(
            "edge",
            1,
            0,
            OptionalLong.of(2_000),
            OptionalLong.empty(),
            OptionalInt.empty(),
            50_000);
    ProcessStart ended =
        new ProcessStart(
            "edge", 2, 0, OptionalLong.empty(), OptionalLong.of(900), OptionalInt.of(1), 900);
    ProcessStart silent =
        new ProcessStart(
            "edge", 3, 0, OptionalLong.empty(), OptionalLong.empty(), OptionalInt.empty(), 30_001);
    ProcessStart killedEarly =
        new ProcessStart(
            "edge", 4, 0, OptionalLong.empty(), OptionalLong.empty(), OptionalInt.empty(), 3_000);
    starts.addAll(Arrays.asList(ready, ended, silent, killedEarly));
    assertRules(Rule.FAULT, Rule.FAULT);
  }

  @Test
  void entryNeedNotBeReadyWhileTheCoreIsNotStable() {
    corePause(0, 15_000, 16_000);
    starts.add(
        new ProcessStart(
            "edge", 1, 0, OptionalLong.of(48_000), OptionalLong.empty(), OptionalInt.empty(), 0));
    assertRules();
    starts.add(
        new ProcessStart(
            "edge", 2, 0, OptionalLong.of(50_000), OptionalLong.empty(), OptionalInt.empty(), 0));
    assertRules(Rule.FAULT);
  }
}
