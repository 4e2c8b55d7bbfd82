package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.routing.Configuration;
import java.util.Optional;

/** Versions of the routes, targets and owners that an entry has received, and what it lacks. */
final class EntryRouting {
  private long configurationVersion;
  private long viewTerm;
  private long viewSequence;

  /** True while the view is older than a change that was received and could not be applied. */
  private boolean hasMissedChange;

  private long estimateSequence;
  private OwnershipView view = OwnershipView.empty();

  /** The last answer that states a confirmed subscription. */
  private Optional<NodeMessage.Routing> confirmation = Optional.empty();

  /**
   * What an update brings that is newer than what the entry had.
   *
   * @param configuration the new configuration
   * @param view the new view
   */
  record News(Optional<Configuration> configuration, Optional<OwnershipView> view) {}

  long configurationVersion() {
    return configurationVersion;
  }

  long viewTerm() {
    return viewTerm;
  }

  /** Returns the number of the view, or {@link EntryProgress#NO_VIEW} after a missed change. */
  long statedViewSequence() {
    return hasMissedChange ? EntryProgress.NO_VIEW : viewSequence;
  }

  long estimateSequence() {
    return estimateSequence;
  }

  /** Returns the last answer that states a confirmed subscription. */
  Optional<NodeMessage.Routing> confirmation() {
    return confirmation;
  }

  /** Applies an update and returns what is new. */
  News apply(NodeMessage.Routing update) {
    recordEstimateSequence(update);
    if (update.confirmedNanos().isPresent()) {
      confirmation = Optional.of(update);
    }
    Optional<Configuration> configuration =
        update.configuration().filter(c -> c.version() > configurationVersion);
    configuration.ifPresent(c -> configurationVersion = c.version());
    Optional<OwnershipView> nextView = nextView(update);
    nextView.ifPresent(next -> replaceView(update, next));
    return new News(configuration, nextView);
  }

  /** Forgets all that was received, because a part of it could not be used. */
  void forget() {
    configurationVersion = 0;
    viewTerm = 0;
    viewSequence = 0;
    hasMissedChange = true;
    estimateSequence = 0;
    view = OwnershipView.empty();
    confirmation = Optional.empty();
  }

  /** Returns whether the routes in use are at least as new as those that an update names. */
  boolean hasConfigurationOf(NodeMessage.Routing update) {
    return configurationVersion >= update.configurationVersion();
  }

  /** Returns whether the targets and owners in use are at least as new as those of an update. */
  boolean hasViewOf(NodeMessage.Routing update) {
    return viewTerm == update.term() && viewSequence >= update.viewSequence();
  }

  /**
   * Returns whether an update names a change of targets and owners that the entry has not received.
   * The first view of a new leader tells nothing: it may equal the last one of the leader before.
   * An entry that has no view lacks each change.
   */
  boolean lacksChangeOf(NodeMessage.Routing update) {
    return viewTerm == 0 || viewTerm == update.term() && viewSequence < update.viewSequence();
  }

  /**
   * Records which load estimates were received. Estimates of targets that were missing in the view
   * are lost, so all are requested again after a whole view.
   */
  private void recordEstimateSequence(NodeMessage.Routing update) {
    if (update.view().isPresent()) {
      estimateSequence = 0;
    } else if (update.estimateSequence() > 0) {
      estimateSequence = update.estimateSequence();
    }
  }

  /**
   * Returns the view after an update, or empty when the update brings none. A change is applied
   * only to the view that directly precedes it; after a gap the next subscriptions request the
   * whole view.
   */
  private Optional<OwnershipView> nextView(NodeMessage.Routing update) {
    boolean isSameTerm = update.term() == viewTerm;
    boolean follows = isSameTerm && update.viewSequence() == viewSequence + 1;
    hasMissedChange |=
        isSameTerm && update.change().isPresent() && update.viewSequence() > viewSequence + 1;
    return update
        .change()
        .filter(c -> follows)
        .map(view::with)
        .or(() -> update.view().filter(v -> isNewer(update)));
  }

  private boolean isNewer(NodeMessage.Routing update) {
    return update.term() > viewTerm
        || update.term() == viewTerm && update.viewSequence() > viewSequence;
  }

  private void replaceView(NodeMessage.Routing update, OwnershipView next) {
    viewTerm = update.term();
    viewSequence = update.viewSequence();
    hasMissedChange = false;
    view = next;
  }
}
