package io.coltsfootwheel.relay;

import io.coltsfootwheel.api.RoutePreview;
import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.ReservedSlots;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.loadcontrol.PermitGrant;
import io.coltsfootwheel.loadcontrol.PermitLimit;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.Configuration;
import io.coltsfootwheel.routing.RouteTable;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/**
 * Forwards client requests directly to targets. All state except the volatile flags is confined to
 * one event loop.
 *
 * <p>Usage: {@code relay.start(); relay.configure(configuration); relay.updateOwnership(view);}
 */
public final class Relay implements RelayContext, AutoCloseable {
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

  /** One in this many answered requests is logged; the others only count in the metrics. */
  private static final int ANSWERED_LOG_INTERVAL = 50;

  private final RelaySettings settings;
  private final EventLog log;
  private final RelayMetrics metrics;

  /** One loop accepts and serves, so that no accepted connection waits for its registration. */
  private final LoopResources loopResources = LoopResources.create("relay", 1, true);

  private final EventLoop eventLoop = (EventLoop) loopResources.onServer(false).next();
  private final RoutingState routing;
  private final UniformRandomProvider random;
  private final PriorityReserve priorityReserve;
  private final TargetChooser chooser;
  private final FleetRetryBudget retryBudget;
  private final ClientDeadlineTracker deadlineTracker = new ClientDeadlineTracker();
  private final ClientBudgets budgets;
  private final TargetConnections connections;
  private final Set<ClientHandler> clients = new HashSet<>();
  private final Set<RelayExchange> exchanges = new HashSet<>();
  private final ClientChannel clientChannel;
  private final RelayStop stop;
  private final TargetNoticeReader noticeReader;
  private final TargetLoadReader loadReader;
  private final TargetOverloadRecorder overload;
  private final LoadReporter loadReporter;
  private final long startNanos = System.nanoTime();
  private final RoutingFreshness freshness = new RoutingFreshness(startNanos);
  private long lastLeaderContactNanos = System.nanoTime();
  private long answeredCount;
  private volatile boolean routingComplete;

  /**
   * Creates a relay without starting it.
   *
   * @param settings the settings
   * @param log structured log
   * @param meters registry for the metrics
   */
  public Relay(RelaySettings settings, EventLog log, MeterRegistry meters) {
    this.settings = settings;
    this.log = log;
    this.budgets = new ClientBudgets(settings.processLimits());
    this.routing = new RoutingState(settings.limitMode());
    this.priorityReserve = new PriorityReserve(routing);
    this.loadReporter = new LoadReporter(routing, priorityReserve);
    this.random = RandomSource.SPLIT_MIX_64.create(settings.seed());
    this.retryBudget =
        new FleetRetryBudget(
            settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMillis());
    PacedWriter pacedWriter = PacedWriter.ofLink(settings.linkBytesPerSecond(), eventLoop);
    this.connections =
        new TargetConnections(
            loopResources,
            eventLoop,
            settings.headerNames(),
            bodyBudget(),
            pacedWriter,
            routing::maxConnections,
            log);
    this.chooser =
        new TargetChooser(
            random,
            settings.zone(),
            settings.drainMillis(),
            settings.evacuationMillis(),
            connections::hasIdle,
            priorityReserve::slotsAgainst);
    this.clientChannel = new ClientChannel(this, budgets, log);
    this.noticeReader = new TargetNoticeReader(settings.headerNames(), log, meters);
    this.loadReader = new TargetLoadReader(settings.headerNames(), log, meters);
    this.overload = new TargetOverloadRecorder(log, meters, settings.limitMode());
    this.stop = new RelayStop(eventLoop, log, clients, exchanges);
    this.metrics = new RelayMetrics(meters, routing, freshness, connections, chooser, log);
    this.metrics.registerClients(budgets);
    this.metrics.registerTransfers(pacedWriter.pacer());
  }

  /** Binds the client address at the first try and accepts connections. */
  public void start() {
    start(ListenerBinder.withoutRetry());
  }

  /**
   * Binds the client address and accepts connections.
   *
   * @param binder binds the client address
   */
  public void start(ListenerBinder binder) {
    TcpServer tcpServer =
        ClientListener.create(settings.listen(), loopResources)
            .doOnConnection(this::onConnection)
            .handle((in, out) -> Mono.never());
    DisposableServer server =
        binder.bind("client address " + settings.listen(), tcpServer::bindNow);
    runOnEventLoop(() -> stop.listenerBound(server.channel()));
  }

  /**
   * Applies a newer configuration.
   *
   * @param configuration the configuration
   */
  public void configure(Configuration configuration) {
    runOnEventLoop(
        () -> {
          ClientLimits limitsBefore = routing.routes().limits();
          routing.updateConfiguration(configuration);
          if (!routing.routes().limits().equals(limitsBefore)) {
            List.copyOf(clients).forEach(ClientHandler::limitsChanged);
          }
          connections.closeExcess();
          log.write(LogEvent.of("configuration.applied").with("version", configuration.version()));
          routingApplied();
        });
  }

  /**
   * Applies a newer view of targets and key ownership.
   *
   * @param view the view
   */
  public void updateOwnership(OwnershipView view) {
    runOnEventLoop(
        () -> {
          Set<TargetId> unusableBefore = routing.unusableTargets();
          Set<AvailabilityZone> evacuatedBefore = routing.evacuatedZones();
          long changeNanos = freshness.earliestChangeNanos(System.nanoTime());
          routing.updateOwnership(view, changeNanos).forEach(connections::close);
          if (!routing.unusableTargets().equals(unusableBefore)) {
            log.write(
                LogEvent.of("targets.unusable")
                    .with("targets", routing.unusableTargets())
                    .with("reason", "the address is no IP address"));
          }
          if (!routing.evacuatedZones().equals(evacuatedBefore)) {
            log.write(LogEvent.of("zones.evacuated").with("zones", routing.evacuatedZones()));
          }
          routingApplied();
        });
  }

  /**
   * Records a contact with the leader and applies the reported load estimates.
   *
   * @param loadEstimates load estimate of each target
   * @param entryCount number of entries that share the retry allowance
   */
  public void heard(Map<TargetId, TargetLoadEstimate> loadEstimates, int entryCount) {
    runOnEventLoop(
        () -> {
          lastLeaderContactNanos = System.nanoTime();
          routing.updateLoadEstimates(lastLeaderContactNanos, loadEstimates, entryCount);
        });
  }

  /**
   * Applies the slots that the leader reserves for more urgent requests.
   *
   * @param reserves reserved slots by service and priority
   */
  public void updateReserves(List<ReservedSlots> reserves) {
    runOnEventLoop(() -> priorityReserve.update(System.nanoTime(), reserves));
  }

  /**
   * Adds permits for cold targets, and decides again on the requests that wait for them. Permits
   * that no subscription of this process can have asked for belong to an earlier process at the
   * same address and are ignored.
   *
   * @param askedNanos time of {@link System#nanoTime} at which the permits were asked for
   * @param grants grants by target
   */
  public void grantPermits(long askedNanos, Map<TargetId, PermitGrant> grants) {
    runOnEventLoop(
        () -> {
          long nowNanos = System.nanoTime();
          if (askedNanos - startNanos < 0 || nowNanos - askedNanos < 0) {
            return;
          }
          long endNanos = askedNanos + TimeUnit.MILLISECONDS.toNanos(PermitLimit.VALID_MILLIS);
          boolean inTime = nowNanos - endNanos < 0;
          grants.forEach(
              (id, grant) -> {
                metrics.countPermits(grant.permits(), inTime);
                routing.target(id).ifPresent(t -> t.permits().record(nowNanos, grant, endNanos));
              });
          List.copyOf(exchanges).forEach(e -> decideAgain(e, RelayExchange::permitsArrived));
        });
  }

  /**
   * Records that routes, or targets and owners, in use were the newest at an earlier time.
   *
   * @param asOfNanos the time, of {@link System#nanoTime}
   * @param isConfigurationNewest whether the routes in use were the newest at that time
   * @param isOwnershipNewest whether the targets and owners in use were the newest at that time
   */
  public void confirmRouting(
      long asOfNanos, boolean isConfigurationNewest, boolean isOwnershipNewest) {
    runOnEventLoop(
        () ->
            freshness.confirm(
                System.nanoTime(), asOfNanos, isConfigurationNewest, isOwnershipNewest));
  }

  /** Records that another process of the control group has named the leader that it hears. */
  public void recordLeaderNamed() {
    runOnEventLoop(() -> freshness.recordLeaderNamed(System.nanoTime()));
  }

  /**
   * Records whether the routes, and the targets and owners, in use are the newest that the leader
   * has named.
   *
   * @param isConfigurationNewest whether no newer routes are known to exist
   * @param isOwnershipNewest whether no newer targets and owners are known to exist
   */
  public void recordNewest(boolean isConfigurationNewest, boolean isOwnershipNewest) {
    runOnEventLoop(() -> freshness.recordNewest(isConfigurationNewest, isOwnershipNewest));
  }

  /**
   * Returns what was observed since the last call, and resets the counts.
   *
   * @return the report for the leader
   */
  public Mono<LoadReport> takeLoadReport() {
    return Mono.create(
        sink -> runOnEventLoop(() -> sink.success(loadReporter.takeReport(System.nanoTime()))));
  }

  /**
   * Decides on a request without sending it.
   *
   * @param host value of its Host header
   * @param path its path
   * @param key its key as text, empty when it has none
   * @return the decision, and what the entry knows of the targets
   */
  public Mono<RoutePreview> preview(String host, String path, String key) {
    RoutePreviewer previewer = new RoutePreviewer(this);
    OptionalInt parsedKey = ClientRequestParser.parseKey(key);
    return Mono.create(
        sink ->
            runOnEventLoop(
                () -> sink.success(previewer.preview(System.nanoTime(), host, path, parsedKey))));
  }

  /**
   * Returns the event loop of the relay. The component that supplies routing data should run on it
   * too, because a thread switch for each message costs more than handling the message.
   *
   * @return the event loop
   */
  public ScheduledExecutorService executor() {
    return eventLoop;
  }

  private void runOnEventLoop(Runnable task) {
    if (eventLoop.inEventLoop()) {
      task.run();
    } else {
      eventLoop.execute(task);
    }
  }

  /**
   * Returns whether requests can be forwarded.
   *
   * @return true once routes and targets are known, until the relay begins to stop
   */
  public boolean isReady() {
    return routingComplete && stop.state() == StopState.SERVING;
  }

  StopState stopState() {
    return stop.state();
  }

  /** Begins to stop: from now on each response closes its client connection. */
  public void beginStop() {
    runOnEventLoop(stop::announce);
  }

  /**
   * Stops accepting connections, refuses new requests and closes each connection when nothing is in
   * progress on it. At the limit, requests that no target works on are refused and all connections
   * are closed. A repeated call returns the result of the first one.
   *
   * @param limitMillis time after which the remaining connections are closed, in milliseconds
   * @return completes with what was left when the last connections were closed
   */
  public Mono<StopReport> drain(long limitMillis) {
    return Mono.<Mono<StopReport>>create(
            sink -> runOnEventLoop(() -> sink.success(stop.drain(limitMillis))))
        .flatMap(drained -> drained);
  }

  /**
   * Returns what is in progress now.
   *
   * @return the report
   */
  public Mono<StopReport> stopReport() {
    return Mono.create(sink -> runOnEventLoop(() -> sink.success(stop.report())));
  }

  /** Closes all sockets and ends the event loop. */
  @Override
  public void close() {
    loopResources.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block();
  }

  private void onConnection(Connection connection) {
    clientChannel.addHandlers(connection);
  }

  /** Returns the version of the configuration by which new requests are handled. */
  RouteTable newestRoutes() {
    return routing.routes();
  }

  void clientConnected(ClientHandler client) {
    clients.add(client);
  }

  void clientDisconnected(ClientHandler client) {
    clients.remove(client);
  }

  void recordIncompleteRefusal(HttpHeaders headers) {
    record(
        "refused",
        0,
        () ->
            LogEvent.of("request.refused")
                .with("request", headers.get(settings.headerNames().requestId(), ""))
                .with("detail", "503 the entry is stopping and the body is incomplete"));
  }

  ClientBudgets budgets() {
    return budgets;
  }

  BufferedBodyBudget bodyBudget() {
    return budgets.bodies();
  }

  /**
   * Records that a request is refused because complete bodies use too much memory, and disconnects
   * the client that holds most of it without taking any.
   */
  void recordMemoryRefusal(HttpHeaders headers) {
    record(
        "refused",
        0,
        () ->
            LogEvent.of("request.refused")
                .with("request", headers.get(settings.headerNames().requestId(), ""))
                .with("detail", "503 bodies use too much memory"));
    clients.stream()
        .filter(ClientHandler::isStalled)
        .max(Comparator.comparingLong(ClientHandler::unwrittenBytes))
        .ifPresent(ClientHandler::closeStalled);
  }

  void recordStalledClient(long unwrittenBytes) {
    metrics.countStalledClient();
    log.write(
        LogEvent.of("client.closed")
            .with("reason", "the client does not read its responses")
            .with("unwritten_bytes", unwrittenBytes));
  }

  /**
   * Returns whether a request may be executed more than once; not known before the first routes.
   * One without a route is not sent.
   */
  boolean isIdempotent(RelayRequest request) {
    return routing
        .routesOf(request)
        .find(request.host(), request.uri())
        .map(route -> route.kind().isIdempotent())
        .orElse(routing.isComplete());
  }

  void recordDiscarded(HttpHeaders headers) {
    metrics.countDiscarded();
    log.write(
        LogEvent.of("request.discarded")
            .with("request", headers.get(settings.headerNames().requestId(), ""))
            .with("detail", "the response before it closed the connection"));
  }

  RelayExchange createExchange(RelayRequest request, Consumer<RelayResponse> responder) {
    RelayExchange exchange = new RelayExchange(this, request, responder);
    exchanges.add(exchange);
    return exchange;
  }

  /** Decides again on waiting requests, and with the first routes on those queued behind them. */
  private void routingApplied() {
    boolean becomesComplete = !routingComplete && routing.isComplete();
    routingComplete = routing.isComplete();
    notifyRoutingChanged();
    if (becomesComplete) {
      List.copyOf(clients).forEach(ClientHandler::proceed);
    }
  }

  private void notifyRoutingChanged() {
    List.copyOf(exchanges).forEach(e -> decideAgain(e, RelayExchange::routingChanged));
  }

  /** A request whose decision fails keeps no other one from its own. */
  private void decideAgain(RelayExchange exchange, Consumer<RelayExchange> decision) {
    try {
      decision.accept(exchange);
    } catch (RuntimeException e) {
      recordDecisionFailure(e);
    }
  }

  void recordDecisionFailure(RuntimeException error) {
    log.write(LogEvent.of("request.decision_failed").with("error", error));
  }

  @Override
  public boolean refusesRequests() {
    return stop.state().refusesRequests();
  }

  @Override
  public RoutingState routing() {
    return routing;
  }

  @Override
  public TargetChooser chooser() {
    return chooser;
  }

  @Override
  public FleetRetryBudget retryBudget() {
    return retryBudget;
  }

  @Override
  public PriorityReserve priorityReserve() {
    return priorityReserve;
  }

  @Override
  public ClientDeadlineTracker deadlineTracker() {
    return deadlineTracker;
  }

  @Override
  public TargetConnections connections() {
    return connections;
  }

  @Override
  public ProtocolHeaderNames headerNames() {
    return settings.headerNames();
  }

  @Override
  public TargetNoticeReader noticeReader() {
    return noticeReader;
  }

  @Override
  public TargetLoadReader loadReader() {
    return loadReader;
  }

  @Override
  public TargetOverloadRecorder overload() {
    return overload;
  }

  @Override
  public double nextRandom() {
    return random.nextDouble();
  }

  @Override
  public Future<?> schedule(Runnable task, long delayMillis) {
    return eventLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void countKey(ServiceName service, int key) {
    loadReporter.countKey(service, key);
  }

  @Override
  public PermitDemand permitDemand() {
    return loadReporter.permitDemand();
  }

  @Override
  public void countUsedPermit() {
    metrics.countUsedPermit();
  }

  @Override
  public long leaderContactAgeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastLeaderContactNanos);
  }

  @Override
  public RoutingFreshness freshness() {
    return freshness;
  }

  @Override
  public void countRetry() {
    metrics.countRetry();
  }

  @Override
  public void record(String outcome, long durationNanos, Supplier<LogEvent> event) {
    metrics.recordOutcome(outcome, durationNanos);
    if (outcome.equals("refused")) {
      stop.countRefusal();
    }
    if (!outcome.equals("answered") || answeredCount++ % ANSWERED_LOG_INTERVAL == 0) {
      log.write(event.get());
    }
  }

  @Override
  public void releaseBody(RelayRequest request) {
    bodyBudget().removeComplete(request.body().readableBytes());
    request.body().release();
  }

  @Override
  public void removeExchange(RelayExchange exchange) {
    exchanges.remove(exchange);
  }
}
