package io.coltsfootwheel.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.routing.Configuration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EntryRoutingTest {
  private static final OwnershipView.Change NO_CHANGE =
      new OwnershipView.Change(List.of(), List.of(), List.of(), List.of());

  private final EntryRouting routing = new EntryRouting();

  private static NodeMessage.Routing update(
      long term,
      long viewSequence,
      long configurationVersion,
      Optional<OwnershipView> view,
      Optional<OwnershipView.Change> change) {
    return new NodeMessage.Routing(
        term,
        viewSequence,
        configurationVersion,
        view.map(v -> new Configuration(configurationVersion, List.of(), List.of())),
        view,
        change,
        Map.of(),
        1,
        List.of(),
        0,
        OptionalLong.empty());
  }

  private static NodeMessage.Routing whole(long term, long viewSequence) {
    return update(term, viewSequence, 1, Optional.of(OwnershipView.empty()), Optional.empty());
  }

  private static NodeMessage.Routing named(long term, long viewSequence, long version) {
    return update(term, viewSequence, version, Optional.empty(), Optional.empty());
  }

  private static NodeMessage.Routing change(long term, long viewSequence) {
    return update(term, viewSequence, 1, Optional.empty(), Optional.of(NO_CHANGE));
  }

  /**
   * Guards against an entry that refuses all requests while a new leader takes over, although
   * nothing may have changed, and against one that uses what it knows to be replaced.
   */
  @ParameterizedTest
  @CsvSource({"1, 5, false", "1, 6, true", "2, 0, false"})
  void onlyANamedChangeIsKnownToBeLacking(long term, long sequence, boolean expected) {
    routing.apply(whole(1, 5));
    assertThat(routing.lacksChangeOf(named(term, sequence, 1))).isEqualTo(expected);
  }

  /** Guards against the use of routes that another leader has replaced. */
  @ParameterizedTest
  @CsvSource({"1, 1, true", "2, 1, true", "1, 2, false", "2, 2, false"})
  void newerConfigurationOfAnyLeaderIsKnown(long term, long version, boolean expected) {
    routing.apply(whole(1, 5));
    assertThat(routing.hasConfigurationOf(named(term, 5, version))).isEqualTo(expected);
  }

  /** Guards against changes that are applied to another view than the one before them. */
  @Test
  void missedChangeIsStatedUntilTheWholeViewArrives() {
    routing.apply(whole(1, 5));
    assertThat(routing.apply(change(1, 6)).view()).isPresent();
    assertThat(routing.apply(change(1, 8)).view()).isEmpty();
    assertThat(routing.statedViewSequence()).isEqualTo(EntryProgress.NO_VIEW);
    assertThat(routing.apply(whole(1, 8)).view()).isPresent();
    assertThat(routing.statedViewSequence()).isEqualTo(8);
  }

  /** Guards against an entry that never asks again for what it received and could not use. */
  @Test
  void everythingIsRequestedAgainOnceItIsForgotten() {
    routing.apply(whole(1, 5));
    routing.forget();
    assertThat(routing.statedViewSequence()).isEqualTo(EntryProgress.NO_VIEW);
    assertThat(routing.hasConfigurationOf(named(1, 5, 1))).isFalse();
    assertThat(routing.hasViewOf(named(1, 5, 1))).isFalse();
    EntryRouting.News news = routing.apply(whole(1, 5));
    assertThat(news.configuration()).isPresent();
    assertThat(news.view()).isPresent();
  }
}
