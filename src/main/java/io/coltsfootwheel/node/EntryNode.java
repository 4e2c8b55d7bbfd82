package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.relay.Relay;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import reactor.core.publisher.Mono;

/**
 * Entry process: keeps the relay supplied with routes, targets and owners from the control leader.
 *
 * <p>Usage: {@code node.start()}, then {@code node.seeds(...)} when the settings change.
 */
public final class EntryNode implements AutoCloseable {
  private static final long INTERVAL_MILLIS = 100;

  private final EntryNodeSettings settings;
  private final Relay relay;
  private final EventLog log;
  private final NodeLinks links;
  private final LeaderFinder finder;
  private final ScheduledExecutorService executor;
  private Optional<ScheduledFuture<?>> subscription = Optional.empty();
  private Set<InstanceId> linked = Set.of();
  private long configurationVersion;
  private long viewTerm;
  private long viewSequence;
  private OwnershipView view = OwnershipView.empty();

  /**
   * Makes a process that is not started yet.
   *
   * @param settings the settings
   * @param relay forwards the requests
   * @param log structured log
   */
  public EntryNode(EntryNodeSettings settings, Relay relay, EventLog log) {
    this.settings = settings;
    this.relay = relay;
    this.executor = relay.executor();
    this.log = log;
    this.finder = new LeaderFinder(settings.seeds());
    this.links =
        new NodeLinks(
            settings.cluster(),
            settings.linkAddress(),
            settings.memberPort(),
            (from, message) -> executor.execute(() -> receive(from, message)),
            log);
  }

  /** Starts to accept clients and to ask for routing information. */
  public void start() {
    relay.start();
    links.start();
    subscription =
        Optional.of(
            executor.scheduleAtFixedRate(
                this::subscribe, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
  }

  /**
   * Adds control processes to ask.
   *
   * @param seeds the processes
   */
  public void seeds(List<InstanceId> seeds) {
    executor.execute(() -> finder.seeds(seeds));
  }

  @Override
  public void close() {
    subscription.ifPresent(s -> s.cancel(false));
    links.close();
  }

  private void subscribe() {
    relay.takeLoadReport().subscribe(this::subscribe);
  }

  private void subscribe(LoadReport load) {
    updateLinks();
    for (InstanceId member : finder.toAsk(System.nanoTime())) {
      ask(member, load);
    }
  }

  private void ask(InstanceId member, LoadReport load) {
    links.send(
        member,
        new NodeMessage.Subscribe(
            settings.linkAddress(), configurationVersion, viewTerm, viewSequence, load));
  }

  private void updateLinks() {
    if (!finder.known().equals(linked)) {
      linked = finder.known();
      links.peers(linked, Map.of());
    }
  }

  private void receive(InstanceId from, NodeMessage message) {
    if (message instanceof NodeMessage.Routing update) {
      take(from, update);
    } else if (message instanceof NodeMessage.Directory directory) {
      Set<InstanceId> before = finder.known();
      finder
          .directory(from, directory)
          .filter(l -> finder.leader().isEmpty() && before.contains(l))
          .ifPresent(l -> ask(l, new LoadReport(Map.of(), List.of())));
      updateLinks();
    }
  }

  private void take(InstanceId from, NodeMessage.Routing update) {
    boolean changes = finder.leader().filter(from::equals).isEmpty();
    if (!finder.heard(System.nanoTime(), from, update.term(), update.members())) {
      return;
    }
    if (changes) {
      log.write(LogEvent.of("leader.found").with("leader", from).with("term", update.term()));
    }
    relay.heard(update.pressure(), update.entries());
    update
        .configuration()
        .filter(c -> c.version() > configurationVersion)
        .ifPresent(
            c -> {
              configurationVersion = c.version();
              relay.configure(c);
            });
    nextView(update)
        .ifPresent(
            next -> {
              viewTerm = update.term();
              viewSequence = update.viewSequence();
              view = next;
              relay.updateOwnership(next);
            });
  }

  /** A change applies to the view just before it; after a gap the whole view is asked for. */
  private Optional<OwnershipView> nextView(NodeMessage.Routing update) {
    boolean follows = update.term() == viewTerm && update.viewSequence() == viewSequence + 1;
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

  /**
   * Waits until the last request is answered, for at most a given time.
   *
   * @param millis longest time to wait
   * @return completes when the process may end
   */
  public Mono<Void> drained(long millis) {
    return relay
        .closeIdleConnections()
        .filter(busy -> busy == 0)
        .repeatWhenEmpty(r -> r.delayElements(Duration.ofMillis(20)))
        .timeout(Duration.ofMillis(millis))
        .onErrorComplete(TimeoutException.class)
        .then();
  }
}
