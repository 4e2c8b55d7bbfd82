package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.PublishedLoadEstimates;
import io.coltsfootwheel.keyspace.ReservedSlots;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.Configuration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

/** Routing updates of one term that the leader sends to the entries. */
final class EntryUpdates {
  /** Bounds the messages about changes of the view to a thousand a second over all entries. */
  private static final long CHANGE_NANOS_PER_ENTRY = TimeUnit.MILLISECONDS.toNanos(1);

  /** Shorter than most requests wait for a key whose range moves. */
  private static final long MAX_CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final long ESTIMATE_NANOS_PER_TARGET = TimeUnit.MICROSECONDS.toNanos(300);

  /** Interval at which an entry asks for the estimates. */
  private static final long MAX_ESTIMATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final long term;
  private final LeaderActions actions;
  private final Map<InstanceId, EntryProgress> progressByEntry = new HashMap<>();

  /** Load estimates of all targets, updated with each tick. */
  private final PublishedLoadEstimates loadEstimates = new PublishedLoadEstimates();

  private List<InstanceId> entries = List.of();
  private List<ReservedSlots> reserves = List.of();
  private long viewSequence;
  private long changeSentNanos;
  private long estimatedNanos;

  /** The view that entries were sent last; at first the one at the start of the term. */
  private OwnershipView view;

  private Optional<SharedUpdate> configurationUpdate = Optional.empty();
  private Optional<SharedUpdate> viewUpdate = Optional.empty();

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
    private static Content ofVersions(OptionalLong confirmedNanos) {
      return ofEstimates(Map.of(), 0, confirmedNanos);
    }

    private static Content ofEstimates(
        Map<TargetId, TargetLoadEstimate> loadEstimates,
        long estimateSequence,
        OptionalLong confirmedNanos) {
      return new Content(
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          loadEstimates,
          estimateSequence,
          confirmedNanos);
    }

    private static Content of(Configuration configuration) {
      return ofShared(Optional.of(configuration.forRouting()), Optional.empty(), Optional.empty());
    }

    private static Content of(OwnershipView view) {
      return ofShared(Optional.empty(), Optional.of(view), Optional.empty());
    }

    private static Content of(OwnershipView.Change change) {
      return ofShared(Optional.empty(), Optional.empty(), Optional.of(change));
    }

    private static Content ofShared(
        Optional<Configuration> configuration,
        Optional<OwnershipView> view,
        Optional<OwnershipView.Change> change) {
      return new Content(configuration, view, change, Map.of(), 0, OptionalLong.empty());
    }
  }

  /**
   * Creates the updates of a term.
   *
   * @param nowNanos monotonic time
   * @param view the view at the start of the term
   */
  EntryUpdates(long nowNanos, long term, LeaderActions actions, OwnershipView view) {
    this.changeSentNanos = nowNanos - MAX_CHANGE_INTERVAL_NANOS;
    this.estimatedNanos = nowNanos - MAX_ESTIMATE_INTERVAL_NANOS;
    this.term = term;
    this.actions = actions;
    this.view = view;
  }

  /**
   * Answers a subscription, and sends what the entry lacks and is not under way to it. The answer
   * goes first, so that the entry knows what it lacks while the rest is under way.
   */
  void subscribe(
      long nowNanos, InstanceId from, NodeMessage.Subscribe subscribe, GroupFacts facts) {
    EntryProgress progress = progressOf(from);
    progress.recordReadsEncoded(subscribe.readsEncoded());
    boolean isSameTerm = subscribe.term() == term;
    long statedSequence = isSameTerm ? subscribe.viewSequence() : EntryProgress.NO_VIEW;
    boolean needsView = progress.needsWholeView(nowNanos, statedSequence, viewSequence);
    long statedEstimates = isSameTerm ? subscribe.estimateSequence() : 0;
    actions.send(
        from,
        message(
            needsView
                ? Content.ofVersions(progress.confirmedNanos())
                : estimatesFor(nowNanos, progress, statedEstimates),
            facts));
    long currentVersion = facts.configuration().version();
    if (progress.needsConfiguration(nowNanos, subscribe.configurationVersion(), currentVersion)) {
      progress.configurationSent(nowNanos, currentVersion);
      actions.send(from, progress.messageOf(configurationUpdate(facts)));
    }
    if (needsView) {
      progress.wholeViewSent(nowNanos);
      actions.send(from, progress.messageOf(viewUpdate(facts)));
    }
  }

  /** Sends permits that an entry asked for; called when a quorum confirmed the leadership. */
  void sendPermits(InstanceId to, NodeMessage.Permits permits, GroupFacts facts) {
    Content content = Content.ofVersions(progressOf(to).confirmedNanos());
    actions.send(to, message(content, facts).withPermits(permits));
  }

  private Content estimatesFor(long nowNanos, EntryProgress progress, long statedSequence) {
    long estimatesAfter =
        progress.estimatesSentAfter(nowNanos, statedSequence, loadEstimates.sequence());
    return Content.ofEstimates(
        loadEstimates.changedSince(estimatesAfter),
        loadEstimates.sequence(),
        progress.confirmedNanos());
  }

  private EntryProgress progressOf(InstanceId entry) {
    return progressByEntry.computeIfAbsent(entry, e -> new EntryProgress());
  }

  private SharedUpdate configurationUpdate(GroupFacts facts) {
    if (!isCurrent(configurationUpdate, facts)) {
      Content content = Content.of(facts.configuration());
      configurationUpdate = Optional.of(new SharedUpdate(message(content, facts)));
    }
    return configurationUpdate.get();
  }

  private SharedUpdate viewUpdate(GroupFacts facts) {
    if (!isCurrent(viewUpdate, facts)) {
      viewUpdate = Optional.of(new SharedUpdate(message(Content.of(view), facts)));
    }
    return viewUpdate.get();
  }

  private static boolean isCurrent(Optional<SharedUpdate> update, GroupFacts facts) {
    return update
        .filter(u -> u.update().configurationVersion() == facts.configuration().version())
        .isPresent();
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

  /**
   * Lets answers state the subscriptions that were confirmed so far. Called when no change of the
   * view waits to be sent: until then an entry may lack a change from before its subscription.
   */
  void completeConfirmations() {
    progressByEntry.values().forEach(EntryProgress::completeConfirmation);
  }

  /** Forgets what was sent to an entry, so that its next subscription gets all that it lacks. */
  void linkLost(InstanceId entry) {
    progressByEntry.remove(entry);
  }

  /**
   * Returns whether changes of the view are to be sent now. The more entries there are, the longer
   * changes are collected, so that the messages leave the processor time for decisions.
   */
  boolean isChangeDue(long nowNanos) {
    long intervalNanos =
        Math.min(MAX_CHANGE_INTERVAL_NANOS, CHANGE_NANOS_PER_ENTRY * entries.size());
    return nowNanos - changeSentNanos >= intervalNanos;
  }

  /** Publishes new load estimates when they are due: the more targets, the less often. */
  void updateLoadEstimates(long nowNanos, LongFunction<Map<TargetId, TargetLoadEstimate>> source) {
    long intervalNanos =
        Math.min(MAX_ESTIMATE_INTERVAL_NANOS, ESTIMATE_NANOS_PER_TARGET * view.targets().size());
    if (nowNanos - estimatedNanos >= intervalNanos) {
      estimatedNanos = nowNanos;
      loadEstimates.update(nowNanos, source.apply(nowNanos));
    }
  }

  /**
   * Sets the slots that are reserved for more urgent requests; answers state them from now on.
   * Writes a line when a service gets its first reserve or loses its last one.
   */
  void setReserves(List<ReservedSlots> newReserves) {
    Set<ServiceName> before = servicesOf(reserves);
    Set<ServiceName> now = servicesOf(newReserves);
    if (!now.equals(before)) {
      actions.log(LogEvent.of("slots.reserved").with("reserves", newReserves));
    }
    reserves = newReserves;
  }

  private static Set<ServiceName> servicesOf(List<ReservedSlots> reserves) {
    return reserves.stream()
        .filter(r -> r.slots() > 0)
        .map(ReservedSlots::service)
        .collect(Collectors.toSet());
  }

  /**
   * Sends a new configuration to all subscribed entries. Its version goes to all of them first, so
   * that no entry takes the transfer for the silence of a lost leader.
   */
  void sendConfiguration(long nowNanos, GroupFacts facts) {
    long version = facts.configuration().version();
    List<InstanceId> subscribed = entries.stream().filter(progressByEntry::containsKey).toList();
    sendToEach(
        subscribed, new SharedUpdate(message(Content.ofVersions(OptionalLong.empty()), facts)));
    subscribed.forEach(e -> progressOf(e).configurationSent(nowNanos, version));
    sendToEach(subscribed, configurationUpdate(facts));
  }

  /**
   * Sends the changes of the view since the last ones. Each entry processes each message, so the
   * rate of messages must not grow with the moves.
   */
  void sendView(long nowNanos, OwnershipView newView, GroupFacts facts) {
    changeSentNanos = nowNanos;
    OwnershipView.Change change = newView.changesSince(view);
    view = newView;
    viewSequence++;
    viewUpdate = Optional.empty();
    List<InstanceId> receivers =
        entries.stream()
            .filter(e -> progressByEntry.containsKey(e))
            .filter(e -> progressByEntry.get(e).hasBeenSentView())
            .toList();
    sendToEach(receivers, new SharedUpdate(message(Content.of(change), facts)));
  }

  private void sendToEach(List<InstanceId> receivers, SharedUpdate update) {
    receivers.forEach(e -> actions.send(e, progressOf(e).messageOf(update)));
  }

  /** Sets the entries that receive updates. */
  void setEntries(List<InstanceId> currentEntries) {
    entries = currentEntries;
    // A set, because the cost of a list would grow with the square of the entries.
    progressByEntry.keySet().retainAll(new HashSet<>(currentEntries));
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
        content.confirmedNanos(),
        content.estimateSequence() > 0 ? Optional.of(reserves) : Optional.empty(),
        Optional.empty());
  }
}
