package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.keyspace.FleetCommand;
import io.coltsfootwheel.keyspace.FleetState;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetLeave;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.runtime.DecisionFailureHandler;
import io.coltsfootwheel.runtime.DecisionLoop;
import io.coltsfootwheel.runtime.JournalDriver;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongFunction;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Control process: member of the consensus group that replicates configuration, targets and key
 * ownership.
 *
 * <p>After a journal failure the process keeps running without a journal and retries opening it: a
 * full disk is a temporary fault, and all log entries and votes that were synced before it are
 * still on disk.
 *
 * <p>Usage: {@code node.start(); node.report(report).subscribe(answer -> ...)}.
 */
public final class ControlNode implements AutoCloseable {
  private static final long JOURNAL_RETRY_MILLIS = 500;
  private static final int MAX_BATCH_ENTRIES = 256;
  private static final int MAX_UNCOMMITTED_ENTRIES = 8_192;
  private static final int RETAINED_ENTRIES = 1_024;

  /**
   * Quorum rounds start only on a tick: this limits the rate of rounds, and delays each answer that
   * needs a round by half a tick on average.
   */
  private static final long TICK_MILLIS = 20;

  /** Interval of the leader's log heartbeats; a tenth of the mean election timeout. */
  private static final long LOG_HEARTBEAT_MILLIS = 50;

  /** Longer than the pauses of a small machine for compilation or garbage collection. */
  private static final long ELECTION_TIMEOUT_MIN_MILLIS = 350;

  private static final long ELECTION_TIMEOUT_MAX_MILLIS = 700;

  private final ControlNodeSettings settings;
  private final Function<Path, Journal> journalOpener;
  private final Function<TargetCall, Mono<TargetCallResult>> targetCaller;
  private final EventLog log;
  private final Timer persistTime;
  private final NodeLinks links;
  private final DecisionLoop<ControlEvent, ControlEffect> loop;
  private final Map<Long, MonoSink<ControlAnswer>> pendingCalls = new ConcurrentHashMap<>();
  private final AtomicLong lastRequestId = new AtomicLong();
  private final DecisionLateness lateness;
  private Optional<JournalDriver> journal = Optional.empty();
  private Optional<ControlReducer> reducer = Optional.empty();

  /** Replicated state after the last event; metrics read it on other threads. */
  private volatile FleetState state = FleetState.empty();

  /** Commands applied since the latest snapshot; metrics read it on other threads. */
  private volatile int logCommands;

  /** Bytes of these commands in the replicated log; metrics read it on other threads. */
  private volatile long logBytes;

  private List<InstanceId> seeds;
  private long nextOpenNanos;

  /**
   * Creates a process without starting it.
   *
   * @param settings the settings
   * @param targetCaller calls a target and returns the result when the call has ended; sends
   *     nothing after the time limit of the call
   * @param log structured log
   * @param meters receives the metrics
   * @param onFailure called when processing an event fails and the process must exit
   */
  public ControlNode(
      ControlNodeSettings settings,
      Function<TargetCall, Mono<TargetCallResult>> targetCaller,
      EventLog log,
      MeterRegistry meters,
      DecisionFailureHandler onFailure) {
    this(settings, Journal::open, targetCaller, log, meters, onFailure);
  }

  /**
   * Creates a process without starting it.
   *
   * @param journalOpener opens the journal in a data folder, or throws a {@link
   *     ColtsfootwheelException}
   */
  ControlNode(
      ControlNodeSettings settings,
      Function<Path, Journal> journalOpener,
      Function<TargetCall, Mono<TargetCallResult>> targetCaller,
      EventLog log,
      MeterRegistry meters,
      DecisionFailureHandler onFailure) {
    this.settings = settings;
    this.journalOpener = journalOpener;
    this.seeds = settings.seeds();
    this.targetCaller = targetCaller;
    this.log = log;
    this.lateness = new DecisionLateness(log);
    this.persistTime = meters.timer("coltsfootwheel.journal.persist");
    Gauge.builder("coltsfootwheel.evacuated.zones", this, n -> n.state.evacuatedZones().size())
        .register(meters);
    Gauge.builder("coltsfootwheel.evacuated.ranges", this, n -> n.state.countEvacuatedRanges())
        .register(meters);
    Gauge.builder("coltsfootwheel.log.commands", this, n -> n.logCommands).register(meters);
    Gauge.builder("coltsfootwheel.log.bytes", this, n -> n.logBytes).register(meters);
    this.links =
        new NodeLinks(
            settings.cluster(),
            settings.linkAddress(),
            settings.linkAddress().port(),
            this::receive,
            this::linkLost,
            log,
            settings.maxLinkConnections());
    this.loop =
        new DecisionLoop<>(
            this::decide,
            ControlEvent.Tick::new,
            TICK_MILLIS,
            this::execute,
            (eventType, failure) -> decisionFailed(eventType, failure, onFailure));
  }

  /** Starts the links and the decision loop; tries once to bind the address of the links. */
  public void start() {
    start(ListenerBinder.withoutRetry());
  }

  /**
   * Starts the links and the decision loop, which opens the journal.
   *
   * @param binder binds the address of the links
   */
  public void start(ListenerBinder binder) {
    links.start(binder);
    loop.start();
  }

  /**
   * Processes a heartbeat report of a target.
   *
   * @param report the report
   * @return the answer
   */
  public Mono<ControlAnswer> report(HeartbeatReport report) {
    return call(id -> new ControlEvent.ReportReceived(System.nanoTime(), id, report));
  }

  /**
   * Processes the request of a target to be removed because it shuts down.
   *
   * @param leave the target, and its incarnation where it is known
   * @return the answer
   */
  public Mono<ControlAnswer> leave(TargetLeave leave) {
    return call(id -> new ControlEvent.LeaveReceived(System.nanoTime(), id, leave));
  }

  /**
   * Changes the configuration.
   *
   * @param change the change
   * @return the answer
   */
  public Mono<ControlAnswer> change(ConfigurationChange change) {
    return call(id -> new ControlEvent.ChangeRequested(System.nanoTime(), id, change));
  }

  /**
   * Starts or ends the evacuation of an availability zone.
   *
   * @param zone the zone
   * @param evacuated true when nothing more is to be sent to the targets of the zone
   * @return the answer
   */
  public Mono<ControlAnswer> setEvacuation(AvailabilityZone zone, boolean evacuated) {
    FleetCommand.SetZoneEvacuation order = new FleetCommand.SetZoneEvacuation(zone, evacuated);
    return call(id -> new ControlEvent.EvacuationRequested(System.nanoTime(), id, order));
  }

  /**
   * Reads the current configuration, with a quorum round that confirms leadership.
   *
   * @return the answer
   */
  public Mono<ControlAnswer> read() {
    return call(id -> new ControlEvent.ReadRequested(System.nanoTime(), id));
  }

  /**
   * Replaces the seeds: control processes that are contacted while no group is known.
   *
   * @param seeds the seeds
   */
  public void setSeeds(List<InstanceId> seeds) {
    loop.post(new ControlEvent.SeedsChanged(System.nanoTime(), seeds));
  }

  @Override
  public void close() throws InterruptedException {
    loop.close();
    links.close();
    if (journal.isPresent()) {
      journal.get().close();
    }
  }

  private Mono<ControlAnswer> call(LongFunction<ControlEvent> event) {
    return Mono.create(
        sink -> {
          long id = lastRequestId.incrementAndGet();
          pendingCalls.put(id, sink);
          sink.onDispose(() -> pendingCalls.remove(id));
          loop.post(event.apply(id));
        });
  }

  private void receive(InstanceId from, NodeMessage message) {
    loop.post(new ControlEvent.MessageReceived(System.nanoTime(), from, message));
  }

  private void linkLost(InstanceId peer) {
    loop.post(new ControlEvent.LinkLost(System.nanoTime(), peer));
  }

  private List<ControlEffect> decide(ControlEvent event) {
    lateness.record(event.nowNanos());
    if (event instanceof ControlEvent.SeedsChanged changed) {
      seeds = changed.seeds();
    }
    if (reducer.isEmpty()) {
      openJournal(event.nowNanos());
    }
    List<ControlEffect> effects =
        reducer.map(r -> r.apply(event)).orElseGet(() -> unavailable(event));
    reducer.ifPresent(this::updateMetrics);
    return effects;
  }

  private void updateMetrics(ControlReducer current) {
    state = current.state();
    logCommands = current.commandsSinceSnapshot();
    logBytes = current.commandBytesSinceSnapshot();
  }

  /** Answers calls as unavailable while there is no open journal; all other events are dropped. */
  private static List<ControlEffect> unavailable(ControlEvent event) {
    ControlAnswer answer = new ControlAnswer.Unavailable("the journal is not open");
    if (event instanceof ControlEvent.ReportReceived call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.LeaveReceived call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.ChangeRequested call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.EvacuationRequested call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.ReadRequested call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    return List.of();
  }

  private void openJournal(long nowNanos) {
    if (nextOpenNanos != 0 && nowNanos - nextOpenNanos < 0) {
      return;
    }
    nextOpenNanos = nowNanos + JOURNAL_RETRY_MILLIS * 1_000_000;
    try {
      Journal opened = journalOpener.apply(settings.dataFolder());
      ControlSettings controlSettings = settings.controlSettings(seeds);
      MemberId self = new MemberId(controlSettings.self(), opened.diskId());
      ReplicationReducer replication =
          new ReplicationReducer(
              replicationSettings(self, controlSettings, System.nanoTime() ^ self.hashCode()),
              opened.recovered(),
              nowNanos);
      reducer = Optional.of(new ControlReducer(controlSettings, self, replication, nowNanos));
      JournalDriver driver =
          new JournalDriver(opened, persistTime, e -> loop.post(new ControlEvent.JournalResult(e)));
      driver.start();
      journal = Optional.of(driver);
      log.write(LogEvent.of("journal.opened").with("member", self));
    } catch (ColtsfootwheelException e) {
      log.write(LogEvent.of("journal.unavailable").with("error", e.getMessage()));
    }
  }

  static ReplicationSettings replicationSettings(
      MemberId self, ControlSettings controlSettings, long seed) {
    return new ReplicationSettings(
        self,
        controlSettings.initialMembers(),
        true,
        seed,
        LOG_HEARTBEAT_MILLIS * 1_000_000,
        ELECTION_TIMEOUT_MIN_MILLIS * 1_000_000,
        ELECTION_TIMEOUT_MAX_MILLIS * 1_000_000,
        MAX_BATCH_ENTRIES,
        ReplicationSettings.MAX_SNAPSHOT_CHUNK_BYTES,
        MAX_UNCOMMITTED_ENTRIES,
        ReplicationSettings.MAX_SNAPSHOT_CHUNK_BYTES,
        RETAINED_ENTRIES,
        ReplicationSettings.DEFAULT_RETAINED_BYTES);
  }

  /** Logs what tells apart the causes of a failure, as far as the heap allows it. */
  private void decisionFailed(
      Class<?> eventType, Throwable failure, DecisionFailureHandler onFailure) {
    try {
      log.write(
          LogEvent.of("decisions.failed")
              .with("decision_event", eventType.getSimpleName())
              .with("role", reducer.map(r -> r.role().name()).orElse(""))
              .with("term", reducer.map(ControlReducer::term).orElse(0L))
              .with("log_commands", logCommands)
              .with("log_bytes", logBytes)
              .with("queued_events", loop.queuedEvents()));
    } finally {
      onFailure.failed(eventType, failure);
    }
  }

  private void execute(ControlEffect effect) {
    if (effect instanceof ControlEffect.Send send) {
      links.send(send.to(), send.message());
    } else if (effect instanceof ControlEffect.Persist persist) {
      journal.ifPresent(j -> j.submit(persist.effect()));
    } else if (effect instanceof ControlEffect.Peers peers) {
      links.peers(peers.members(), peers.entries());
    } else if (effect instanceof ControlEffect.CallTarget call) {
      callTarget(call.call());
    } else if (effect instanceof ControlEffect.Answer answer) {
      MonoSink<ControlAnswer> sink = pendingCalls.remove(answer.requestId());
      if (sink != null) {
        sink.success(answer.answer());
      }
    } else if (effect instanceof ControlEffect.Log line) {
      log.write(line.event());
    } else if (effect instanceof ControlEffect.CloseJournal) {
      closeJournal();
    }
  }

  private void callTarget(TargetCall call) {
    targetCaller
        .apply(call)
        .onErrorReturn(TargetCallResult.of(TargetCallResult.Outcome.UNKNOWN))
        .subscribe(
            result -> loop.post(new ControlEvent.TargetCallEnded(System.nanoTime(), call, result)));
  }

  /** Closes the failed journal; a later event opens it again. */
  private void closeJournal() {
    JournalDriver failed = journal.orElseThrow();
    journal = Optional.empty();
    reducer = Optional.empty();
    try {
      failed.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ColtsfootwheelException e) {
      log.write(LogEvent.of("journal.close.failed").with("error", e.getMessage()));
    }
  }
}
