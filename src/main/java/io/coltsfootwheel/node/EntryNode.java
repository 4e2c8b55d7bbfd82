package io.coltsfootwheel.node;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.relay.Relay;
import io.coltsfootwheel.relay.StopReport;
import io.coltsfootwheel.runtime.RepeatedTask;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import reactor.core.publisher.Mono;

/**
 * Entry process: subscribes to the control leader and updates the relay with routes, targets and
 * key ownership.
 *
 * <p>Usage: {@code node.start()}, then {@code node.addSeeds(...)} when the settings change.
 */
public final class EntryNode implements AutoCloseable {
  private static final long SUBSCRIBE_INTERVAL_MILLIS = 100;

  private final EntryNodeSettings settings;
  private final Relay relay;
  private final EventLog log;
  private final NodeLinks links;
  private final LeaderFinder finder;
  private final ScheduledExecutorService executor;
  private final DecisionLateness lateness;
  private final RepeatedTask subscriptionTask;
  private Set<InstanceId> linkedMembers = Set.of();
  private final EntryRouting routing = new EntryRouting();

  /**
   * Creates a process without starting it.
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
    this.lateness = new DecisionLateness(log);
    this.finder = new LeaderFinder(settings.seeds());
    this.links =
        new NodeLinks(
            settings.cluster(),
            settings.linkAddress(),
            settings.memberPort(),
            this::enqueue,
            lost -> {},
            log,
            settings.maxLinkConnections());
    this.subscriptionTask =
        new RepeatedTask(
            executor,
            this::reportLoadAndSubscribe,
            SUBSCRIBE_INTERVAL_MILLIS,
            this::logFailedSubscription);
  }

  /** Starts to accept client connections and to subscribe; tries once to bind each address. */
  public void start() {
    start(ListenerBinder.withoutRetry());
  }

  /**
   * Starts to accept client connections and to subscribe to routing updates. The address of clients
   * is bound last, so that no client waits for the other one.
   *
   * @param binder binds the addresses of clients and links
   */
  public void start(ListenerBinder binder) {
    links.start(binder);
    relay.start(binder);
    subscriptionTask.start();
  }

  /**
   * Adds control processes that may be asked for the leader.
   *
   * @param seeds the control processes
   */
  public void addSeeds(List<InstanceId> seeds) {
    executor.execute(() -> finder.addSeeds(seeds));
  }

  @Override
  public void close() {
    subscriptionTask.close();
    links.close();
    relay.close();
  }

  private void reportLoadAndSubscribe() {
    relay.takeLoadReport().subscribe(this::subscribe, this::logFailedSubscription);
  }

  private void logFailedSubscription(Throwable failure) {
    log.write(LogEvent.of("subscription.failed").with("error", failure));
  }

  private void subscribe(LoadReport load) {
    updateLinks();
    for (InstanceId member : finder.membersToAsk(System.nanoTime())) {
      sendSubscription(member, load);
    }
  }

  private void sendSubscription(InstanceId member, LoadReport load) {
    links.send(
        member,
        new NodeMessage.Subscribe(
            settings.linkAddress(),
            routing.configurationVersion(),
            routing.viewTerm(),
            routing.statedViewSequence(),
            load,
            routing.estimateSequence(),
            System.nanoTime(),
            true));
  }

  private void updateLinks() {
    if (!finder.known().equals(linkedMembers)) {
      linkedMembers = finder.known();
      links.peers(linkedMembers, Map.of());
    }
  }

  /** Passes a message to the event loop; messages that arrive after its end are dropped. */
  private void enqueue(InstanceId from, NodeMessage message) {
    long arrivedNanos = System.nanoTime();
    if (!executor.isShutdown()) {
      executor.execute(() -> receive(arrivedNanos, from, message));
    }
  }

  private void receive(long arrivedNanos, InstanceId from, NodeMessage message) {
    lateness.record(arrivedNanos);
    if (message instanceof NodeMessage.Routing update) {
      applyUpdate(from, update);
    } else if (message instanceof NodeMessage.Directory directory) {
      applyDirectory(from, directory);
    }
  }

  private void applyDirectory(InstanceId from, NodeMessage.Directory directory) {
    Set<InstanceId> before = finder.known();
    Optional<InstanceId> named = finder.recordDirectory(from, directory);
    named.ifPresent(l -> relay.recordLeaderNamed());
    named
        .filter(l -> finder.leader().isEmpty() && before.contains(l))
        .ifPresent(l -> sendSubscription(l, new LoadReport(Map.of(), List.of())));
    updateLinks();
  }

  private void applyUpdate(InstanceId from, NodeMessage.Routing update) {
    boolean isNewLeader = finder.leader().filter(from::equals).isEmpty();
    if (!finder.heard(System.nanoTime(), from, update.term(), update.members())) {
      return;
    }
    if (isNewLeader) {
      log.write(LogEvent.of("leader.found").with("leader", from).with("term", update.term()));
    }
    relay.heard(update.loadEstimates(), update.entries());
    update.reserves().ifPresent(relay::updateReserves);
    EntryRouting.News news = routing.apply(update);
    // Also before the news: requests that wait for them are decided while they are applied.
    relay.recordNewest(routing.hasConfigurationOf(update), !routing.lacksChangeOf(update));
    use(news, update.configurationVersion());
    relay.recordNewest(routing.hasConfigurationOf(update), !routing.lacksChangeOf(update));
    routing.confirmation().ifPresent(this::confirmRouting);
    update.permits().ifPresent(p -> relay.grantPermits(p.askedNanos(), p.byTarget()));
  }

  /** Passes news to the relay; when that fails, all is requested again from the leader. */
  private void use(EntryRouting.News news, long version) {
    try {
      news.configuration().ifPresent(relay::configure);
      news.view().ifPresent(relay::updateOwnership);
    } catch (RuntimeException | Error e) {
      routing.forget();
      log.write(LogEvent.of("routing.failed").with("version", version).with("error", e));
    }
  }

  /**
   * Reports to the relay which of its routes, targets and owners were the newest at the time of a
   * confirmed subscription. What the answer lacked may have arrived in a message after it.
   */
  private void confirmRouting(NodeMessage.Routing answer) {
    answer
        .confirmedNanos()
        .ifPresent(
            nanos ->
                relay.confirmRouting(
                    nanos, routing.hasConfigurationOf(answer), routing.hasViewOf(answer)));
  }

  /**
   * Stops serving clients: reports not ready, then drains the relay.
   *
   * @param graceMillis time after which the process is killed, in milliseconds
   * @return completes when all client connections are closed
   */
  public Mono<StopReport> stop(long graceMillis) {
    StopSchedule schedule = StopSchedule.of(graceMillis);
    relay.beginStop();
    return Mono.delay(Duration.ofMillis(schedule.noticeMillis()))
        .then(relay.drain(schedule.drainMillis()));
  }
}
