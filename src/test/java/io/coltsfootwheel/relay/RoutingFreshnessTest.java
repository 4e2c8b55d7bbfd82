package io.coltsfootwheel.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoutingFreshnessTest {
  private static final long START_MILLIS = 50_000;

  private final RoutingFreshness freshness = new RoutingFreshness(nanos(0));

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(START_MILLIS + millis);
  }

  /**
   * Load pattern: answers that wait on a full link. Guards against the time of their arrival taken
   * for the age of what they say.
   */
  @ParameterizedTest
  @CsvSource({"200, true, false", "999, true, false", "1000, false, false", "1500, false, true"})
  void ageCountsFromTheQuestion(long delayMillis, boolean isCurrent, boolean isOutdated) {
    freshness.confirm(nanos(5_000), nanos(5_000 - delayMillis), true, true);
    assertThat(freshness.isConfigurationCurrent(nanos(5_000))).isEqualTo(isCurrent);
    assertThat(freshness.isOutdated(nanos(5_000))).isEqualTo(isOutdated);
    assertThat(freshness.configurationAgeMillis(nanos(5_000))).isEqualTo(delayMillis);
  }

  /** Guards against an entry that stays current although it lacks what the answers speak of. */
  @ParameterizedTest
  @CsvSource({"true, false", "false, true"})
  void answersAboutNewerVersionsRenewNothing(boolean hasConfiguration, boolean hasOwnership) {
    freshness.confirm(nanos(100), nanos(0), true, true);
    for (long millis = 200; millis <= 2_000; millis += 100) {
      freshness.confirm(nanos(millis), nanos(millis - 100), hasConfiguration, hasOwnership);
    }
    assertThat(freshness.isOutdated(nanos(2_000))).isTrue();
    assertThat(freshness.isConfigurationCurrent(nanos(2_000))).isEqualTo(hasConfiguration);
  }

  /** Guards against an entry that refuses everything while there is no leader and so no change. */
  @ParameterizedTest
  @CsvSource({"1099, false", "1600, false", "60000, false"})
  void silenceOfTheLeaderDoesNotOutdate(long millis, boolean expected) {
    freshness.confirm(nanos(100), nanos(0), true, true);
    assertThat(freshness.isOutdated(nanos(millis))).isEqualTo(expected);
  }

  /** Guards against the use of facts that are known to be replaced, while the leader is silent. */
  @ParameterizedTest
  @CsvSource({
    "false, true, 1499, false",
    "false, true, 1500, true",
    "true, false, 1500, true",
    "true, true, 60000, false"
  })
  void silenceOutdatesWhatIsKnownToBeReplaced(
      boolean isConfigurationNewest, boolean isOwnershipNewest, long millis, boolean expected) {
    freshness.confirm(nanos(100), nanos(0), true, true);
    freshness.recordNewest(isConfigurationNewest, isOwnershipNewest);
    assertThat(freshness.isOutdated(nanos(millis))).isEqualTo(expected);
    freshness.recordNewest(true, true);
    assertThat(freshness.isOutdated(nanos(millis))).isFalse();
  }

  /**
   * Load: answers that wait on a full link, on which the next one takes still longer. Guards
   * against old facts that are used as if there were no leader while its answers are on their way.
   */
  @ParameterizedTest
  @CsvSource({
    "599, 60000, false",
    "600, 899, false",
    "600, 900, true",
    "1499, 0, false",
    "1499, 1, true",
    "1500, 0, true"
  })
  void silenceAfterLateAnswersOutdates(long delayMillis, long silenceMillis, boolean expected) {
    freshness.confirm(nanos(5_000), nanos(5_000 - delayMillis), true, true);
    assertThat(freshness.isOutdated(nanos(5_000 + silenceMillis))).isEqualTo(expected);
  }

  /** Guards against old facts that are used while the leader is in office and cannot be heard. */
  @ParameterizedTest
  @CsvSource({"1499, 60000, false", "1500, 1500, true", "1500, 60000, true"})
  void silenceOutdatesWhileAnotherProcessNamesTheLeader(
      long namedMillis, long millis, boolean expected) {
    freshness.confirm(nanos(100), nanos(0), true, true);
    freshness.recordLeaderNamed(nanos(namedMillis));
    assertThat(freshness.isOutdated(nanos(millis))).isEqualTo(expected);
    freshness.confirm(nanos(millis), nanos(millis - 100), true, true);
    assertThat(freshness.isOutdated(nanos(millis))).isFalse();
  }

  /** Guards against an answer to an earlier process at the same address, whose clock differs. */
  @ParameterizedTest
  @CsvSource({"-1", "60000"})
  void timeOfAnotherProcessIsIgnored(long asOfMillis) {
    freshness.confirm(nanos(1_000), nanos(asOfMillis), true, true);
    assertThat(freshness.configurationAgeMillis(nanos(1_000)))
        .isEqualTo(RoutingFreshness.NEVER_CONFIRMED_MILLIS);
    assertThat(freshness.isOutdated(nanos(1_000))).isFalse();
  }

  /** Guards against an older answer that takes the place of a newer one. */
  @ParameterizedTest
  @CsvSource({"100, 400", "400, 100"})
  void latestConfirmedTimeCounts(long firstMillis, long secondMillis) {
    freshness.confirm(nanos(500), nanos(firstMillis), true, true);
    freshness.confirm(nanos(500), nanos(secondMillis), true, true);
    assertThat(freshness.ownershipAgeMillis(nanos(500))).isEqualTo(100);
    assertThat(freshness.earliestChangeNanos(nanos(500))).isEqualTo(nanos(400));
  }
}
