package io.coltsfootwheel.relay;

import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.keyspace.LoadReport;
import io.coltsfootwheel.keyspace.OwnershipView;
import io.coltsfootwheel.keyspace.TargetLoadEstimate;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ClientLimits;
import io.coltsfootwheel.routing.Configuration;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
 * Forwards requests of clients directly to targets. All state belongs to one event loop.
 *
 * <p>Usage: {@code relay.start(); relay.configure(configuration); relay.view(view);}
 */
public final class Relay implements RelayContext {
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final int MAX_LINE_BYTES = 8 * 1024;

  private static final int BACKLOG = 1_024;

  /** One of this many answered requests has a line in the log; all others are counted only. */
  private static final int ANSWERED_LINE_INTERVAL = 50;

  /** Without word of the leader for this long, newer routes may be in force. */
  private static final long FRESH_MILLIS = 1_000;

  private final RelaySettings settings;
  private final EventLog log;
  private final RelayMetrics metrics;
  private final LoopResources loops = LoopResources.create("relay", 1, 1, true);
  private final EventLoop loop = (EventLoop) loops.onServer(false).next();
  private final FleetRouting routing = new FleetRouting();
  private final UniformRandomProvider random;
  private final TargetChooser chooser;
  private final RetryBudget budget;
  private final ClientDeadlines deadlines = new ClientDeadlines();
  private final TargetConnections connections;
  private final Set<ClientHandler> clients = new HashSet<>();
  private final Set<Exchange> exchanges = new HashSet<>();
  private final Map<ServiceName, Map<Integer, Integer>> requestsByKey = new HashMap<>();
  private Optional<DisposableServer> server = Optional.empty();
  private long heardNanos = System.nanoTime();
  private long answered;
  private volatile boolean stopping;
  private volatile boolean complete;

  /**
   * Makes a relay that is not started yet.
   *
   * @param settings the settings
   * @param log structured log
   * @param meters receives the metrics
   */
  public Relay(RelaySettings settings, EventLog log, MeterRegistry meters) {
    this.settings = settings;
    this.log = log;
    this.random = RandomSource.SPLIT_MIX_64.create(settings.seed());
    this.chooser = new TargetChooser(random, settings.zone(), settings.drainMillis());
    this.budget =
        new RetryBudget(
            settings.retryRatio(), settings.retryAllowance(), settings.retryWindowMillis());
    this.connections = new TargetConnections(loops, loop, settings.names().requestId());
    this.metrics = new RelayMetrics(meters, routing, connections, log);
  }

  /** Starts to accept clients. */
  public void start() {
    try {
      server =
          Optional.of(
              TcpServer.create()
                  .runOn(loops, false)
                  .host(settings.listen().host())
                  .port(settings.listen().port())
                  .option(ChannelOption.SO_BACKLOG, BACKLOG)
                  .childOption(ChannelOption.TCP_NODELAY, true)
                  .doOnConnection(this::accept)
                  .handle((in, out) -> Mono.never())
                  .bindNow());
    } catch (RuntimeException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS,
          "client address " + settings.listen() + " cannot be bound",
          e);
    }
  }

  /**
   * Takes a newer configuration.
   *
   * @param configuration the configuration
   */
  public void configure(Configuration configuration) {
    onLoop(
        () -> {
          routing.update(configuration);
          complete = routing.isComplete();
          log.write(LogEvent.of("configuration.applied").with("version", configuration.version()));
          wakeWaiting();
        });
  }

  /**
   * Takes a newer view of targets and owners.
   *
   * @param view the view
   */
  public void view(OwnershipView view) {
    onLoop(
        () -> {
          routing.update(view, System.nanoTime()).forEach(connections::close);
          complete = routing.isComplete();
          wakeWaiting();
        });
  }

  /**
   * Notes that the leader was heard.
   *
   * @param pressure how busy each target is
   * @param entries entries that share the retry allowance
   */
  public void heard(Map<TargetId, TargetLoadEstimate> pressure, int entries) {
    onLoop(
        () -> {
          heardNanos = System.nanoTime();
          routing.update(pressure, entries);
        });
  }

  /**
   * Takes what was observed since the last call.
   *
   * @return the report for the leader
   */
  public Mono<LoadReport> takeLoad() {
    return Mono.create(sink -> onLoop(() -> sink.success(load())));
  }

  /**
   * Returns the thread of the relay, on which its supplier should run too: a change of threads for
   * each message costs more than the message.
   *
   * @return the event loop
   */
  public ScheduledExecutorService executor() {
    return loop;
  }

  private void onLoop(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
    } else {
      loop.execute(task);
    }
  }

  /**
   * Tells whether requests can be forwarded.
   *
   * @return true once routes and targets are known and while the relay does not stop
   */
  public boolean isReady() {
    return complete && !stopping;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Asks clients to leave: from now on each response ends its connection. */
  public void beginStop() {
    stopping = true;
  }

  /**
   * Stops accepting, closes idle connections and tells when no request is in progress.
   *
   * @return completes with the number of requests in progress
   */
  public Mono<Integer> closeIdle() {
    return Mono.create(
        sink ->
            loop.execute(
                () -> {
                  server.ifPresent(s -> s.channel().close());
                  List.copyOf(clients).forEach(ClientHandler::closeWhenIdle);
                  sink.success((int) clients.stream().filter(ClientHandler::isBusy).count());
                }));
  }

  private void accept(Connection connection) {
    ClientLimits limits = routing.routes().limits();
    int maxBodyBytes = (int) Math.min(MAX_BODY_BYTES, limits.maxBodyBytes());
    connection.addHandlerLast(
        new HttpServerCodec(
            new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(limits.maxHeaderBytes())));
    connection.addHandlerLast(new HttpObjectAggregator(maxBodyBytes));
    connection.addHandlerLast(
        new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS));
    connection.addHandlerLast(new ClientHandler(this));
    connection.channel().config().setAutoRead(true);
  }

  void connected(ClientHandler client) {
    clients.add(client);
  }

  void disconnected(ClientHandler client) {
    clients.remove(client);
  }

  Exchange exchange(RelayRequest request, Consumer<RelayResponse> responder) {
    Exchange exchange = new Exchange(this, request, responder);
    exchanges.add(exchange);
    return exchange;
  }

  private void wakeWaiting() {
    List.copyOf(exchanges).forEach(Exchange::routingChanged);
  }

  private LoadReport load() {
    Map<ServiceName, Map<Integer, Integer>> keys = new HashMap<>(requestsByKey);
    requestsByKey.clear();
    List<LoadReport.TargetObservation> observations = new ArrayList<>();
    for (TargetStats target : routing.targets()) {
      if (target.hasChanged()) {
        observations.add(
            new LoadReport.TargetObservation(
                target.spec().id(), target.inFlight(), target.takeCompleted()));
      }
    }
    return new LoadReport(keys, observations);
  }

  @Override
  public FleetRouting routing() {
    return routing;
  }

  @Override
  public TargetChooser chooser() {
    return chooser;
  }

  @Override
  public RetryBudget budget() {
    return budget;
  }

  @Override
  public ClientDeadlines deadlines() {
    return deadlines;
  }

  @Override
  public TargetConnections connections() {
    return connections;
  }

  @Override
  public WireNames names() {
    return settings.names();
  }

  @Override
  public double draw() {
    return random.nextDouble();
  }

  @Override
  public void schedule(Runnable task, long delayMillis) {
    loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void countKey(ServiceName service, int key) {
    requestsByKey.computeIfAbsent(service, s -> new HashMap<>()).merge(key, 1, Integer::sum);
  }

  @Override
  public boolean isFresh() {
    return viewAgeMillis() < FRESH_MILLIS;
  }

  @Override
  public long viewAgeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardNanos);
  }

  @Override
  public void retried() {
    metrics.retried();
  }

  @Override
  public void record(String outcome, long totalNanos, Supplier<LogEvent> line) {
    metrics.ended(outcome, totalNanos);
    if (!outcome.equals("answered") || answered++ % ANSWERED_LINE_INTERVAL == 0) {
      log.write(line.get());
    }
  }

  @Override
  public void ended(Exchange exchange) {
    exchanges.remove(exchange);
  }
}
