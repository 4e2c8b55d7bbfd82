package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.PublishedLoadEstimates;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** Routing updates of one term that the leader sends to the entries. */
final class EntryUpdates {
  private final long term;
  private final LeaderActions actions;
  private final Map<InstanceId, EntryProgress> progressByEntry = new HashMap<>();

  /** Load estimates of all targets, updated with each tick. */
  private final PublishedLoadEstimates loadEstimates = new PublishedLoadEstimates();

  private List<InstanceId> entries = List.of();
  private long viewSequence;

  /** The view that entries were sent last; at first the one at the start of the term. */
  private OwnershipView view;

  /**
   * What each update states besides its own content.
   *
   * @param configuration the current configuration
   * @param members the members of the control group
   */
  record GroupFacts(Configuration configuration, List<MemberProgress> members) {
    private List<InstanceId> memberNames() {
      return members.stream().map(m -> m.member().instance()).distinct().toList();
    }
  }

  /** Content of an update. */
  private record Content(
      Optional<Configuration> configuration,
      Optional<OwnershipView> wholeView,
      Optional<OwnershipView.Change> change,
      Map<TargetId, TargetLoadEstimate> loadEstimates,
      long estimateSequence,
      OptionalLong confirmedNanos) {
    private static Content of(Configuration configuration) {
      return new Content(
          Optional.of(configuration.withoutAcceptedFingerprints()),
          Optional.empty(),
          Optional.empty(),
          Map.of(),
          0,
          OptionalLong.empty());
    }

    private static Content of(OwnershipView.Change change) {
      return new Content(
          Optional.empty(),
          Optional.empty(),
          Optional.of(change),
          Map.of(),
          0,
          OptionalLong.empty());
    }
  }

  EntryUpdates(long term, LeaderActions actions, OwnershipView view) {
    this.term = term;
    this.actions = actions;
    this.view = view;
  }

  /** Answers a subscription with what the entry lacks and is not under way to it. */
  void subscribe(
      long nowNanos, InstanceId from, NodeMessage.Subscribe subscribe, GroupFacts facts) {
    EntryProgress progress = progressOf(from);
    boolean isSameTerm = subscribe.term() == term;
    long statedSequence = isSameTerm ? subscribe.viewSequence() : EntryProgress.NO_VIEW;
    boolean needsView = progress.needsWholeView(nowNanos, statedSequence, viewSequence);
    Optional<Configuration> configuration =
        configurationFor(
            nowNanos, progress, subscribe.configurationVersion(), facts.configuration());
    if (needsView) {
      progress.wholeViewSent(nowNanos);
      Content wholeView =
          new Content(
              configuration,
              Optional.of(view),
              Optional.empty(),
              Map.of(),
              0,
              progress.confirmedNanos());
      actions.send(from, message(wholeView, facts));
      return;
    }
    long estimatesAfter =
        progress.estimatesSentAfter(
            nowNanos, isSameTerm ? subscribe.estimateSequence() : 0, loadEstimates.sequence());
    Content answer =
        new Content(
            configuration,
            Optional.empty(),
            Optional.empty(),
            loadEstimates.changedSince(estimatesAfter),
            loadEstimates.sequence(),
            progress.confirmedNanos());
    actions.send(from, message(answer, facts));
  }

  private EntryProgress progressOf(InstanceId entry) {
    return progressByEntry.computeIfAbsent(entry, e -> new EntryProgress());
  }

  private static Optional<Configuration> configurationFor(
      long nowNanos, EntryProgress progress, long statedVersion, Configuration current) {
    if (!progress.needsConfiguration(nowNanos, statedVersion, current.version())) {
      return Optional.empty();
    }
    progress.configurationSent(nowNanos, current.version());
    return Optional.of(current.withoutAcceptedFingerprints());
  }

  /**
   * Records that a quorum confirmed the leadership after a subscription arrived.
   *
   * @param from the entry
   * @param sentNanos time of the entry's clock at which it sent the subscription
   */
  void subscriptionConfirmed(InstanceId from, long sentNanos) {
    progressOf(from).subscriptionConfirmed(sentNanos);
  }

  /** Forgets what was sent to an entry, so that its next subscription gets all that it lacks. */
  void linkLost(InstanceId entry) {
    progressByEntry.remove(entry);
  }

  void updateLoadEstimates(long nowNanos, Map<TargetId, TargetLoadEstimate> estimates) {
    loadEstimates.update(nowNanos, estimates);
  }

  /** Sends a new configuration to all entries. */
  void sendConfiguration(long nowNanos, GroupFacts facts) {
    Configuration current = facts.configuration();
    entries.forEach(e -> progressOf(e).configurationSent(nowNanos, current.version()));
    NodeMessage message = message(Content.of(current), facts);
    entries.forEach(e -> actions.send(e, message));
  }

  /**
   * Sends the changes of the view since the last tick. Each entry processes each message, so the
   * rate of messages must not grow with the moves.
   */
  void sendView(OwnershipView newView, GroupFacts facts) {
    OwnershipView.Change change = newView.changesSince(view);
    view = newView;
    viewSequence++;
    NodeMessage message = message(Content.of(change), facts);
    entries.stream()
        .filter(e -> progressByEntry.containsKey(e))
        .filter(e -> progressByEntry.get(e).hasBeenSentView())
        .forEach(e -> actions.send(e, message));
  }

  /** Sets the entries that receive updates. */
  void setEntries(List<InstanceId> currentEntries) {
    entries = currentEntries;
    progressByEntry.keySet().retainAll(currentEntries);
  }

  private NodeMessage.Routing message(Content content, GroupFacts facts) {
    return new NodeMessage.Routing(
        term,
        viewSequence,
        facts.configuration().version(),
        content.configuration(),
        content.wholeView(),
        content.change(),
        content.loadEstimates(),
        entries.size(),
        facts.memberNames(),
        content.estimateSequence(),
        content.confirmedNanos());
  }
}
