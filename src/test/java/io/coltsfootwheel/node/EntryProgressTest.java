package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryProgressTest {
  private final EntryProgress progress = new EntryProgress();

  @BeforeEach
  void sendWholeView() {
    assertThat(progress.needsWholeView(nanos(0), EntryProgress.NO_VIEW, 5)).isTrue();
    progress.wholeViewSent(nanos(0));
  }

  private static long nanos(long millis) {
    return TimeUnit.SECONDS.toNanos(9) + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Guards against a second whole view while the first one is on a slow link. */
  @ParameterizedTest
  @CsvSource({"100, false", "900, false", "1000, true"})
  void wholeViewIsSentAgainOnlyAfterAWhile(long millis, boolean expected) {
    assertThat(progress.needsWholeView(nanos(millis), EntryProgress.NO_VIEW, 8))
        .isEqualTo(expected);
  }

  /** Guards against whole views for an entry that receives changes, but not yet the last one. */
  @Test
  void entryThatReceivesChangesNeedsNoWholeView() {
    for (int i = 1; i < 50; i++) {
      assertThat(progress.needsWholeView(nanos(100 * i), 5 + i, 8 + i)).isFalse();
    }
  }

  /** Guards against an entry that keeps an old view because a change was lost. */
  @Test
  void entryWithoutProgressNeedsAWholeView() {
    assertThat(progress.needsWholeView(nanos(1_500), 6, 8)).isFalse();
    assertThat(progress.needsWholeView(nanos(2_400), 6, 9)).isFalse();
    assertThat(progress.needsWholeView(nanos(2_500), 6, 9)).isTrue();
  }

  /** Guards against an entry that waits for the view although it says that it missed a change. */
  @Test
  void missedChangeIsAnsweredAtOnce() {
    assertThat(progress.needsWholeView(nanos(1_500), 8, 8)).isFalse();
    assertThat(progress.needsWholeView(nanos(1_600), EntryProgress.NO_VIEW, 10)).isTrue();
  }

  /** Guards against a configuration that is sent with each answer while it is under way. */
  @ParameterizedTest
  @CsvSource({"2, 100, false", "2, 1000, true", "1, 100, true", "3, 1000, false"})
  void configurationIsSentOnce(long sentVersion, long millis, boolean expected) {
    progress.configurationSent(nanos(0), sentVersion);
    long currentVersion = sentVersion == 3 ? 1 : 2;
    assertThat(progress.needsConfiguration(nanos(millis), 1, currentVersion)).isEqualTo(expected);
  }

  /** Guards against load estimates that are missing after a whole view, or are sent twice. */
  @Test
  void estimatesFollowTheWholeViewAndAreSentOnce() {
    assertThat(progress.estimatesSentAfter(nanos(100), 0, 20)).isZero();
    assertThat(progress.estimatesSentAfter(nanos(200), 0, 24)).isEqualTo(20);
    assertThat(progress.estimatesSentAfter(nanos(300), 20, 27)).isEqualTo(24);
    assertThat(progress.estimatesSentAfter(nanos(1_250), 20, 30)).isEqualTo(27);
    assertThat(progress.estimatesSentAfter(nanos(1_300), 20, 30)).isEqualTo(20);
  }
}
