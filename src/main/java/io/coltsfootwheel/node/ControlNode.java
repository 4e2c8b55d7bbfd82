package io.coltsfootwheel.node;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.routing.ConfigurationChange;
import io.coltsfootwheel.runtime.DecisionLoop;
import io.coltsfootwheel.runtime.JournalDriver;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Control process: member of the group that agrees on configuration, targets and owners of keys.
 *
 * <p>When the journal fails, the process goes on without one and opens it again until that works; a
 * full disk is a passing fault, and the promises that were synced before are still on it.
 *
 * <p>Usage: {@code node.start(); node.report(report).subscribe(answer -> ...)}.
 */
public final class ControlNode implements AutoCloseable {
  private static final long REOPEN_MILLIS = 500;
  private static final int MAX_BATCH_ENTRIES = 256;
  private static final int MAX_UNCOMMITTED = 8_192;
  private static final int RETAINED_ENTRIES = 1_024;

  /** Quorum rounds begin with a tick, so this bounds their number and delays answers by half. */
  private static final long TICK_MILLIS = 20;

  /** Heartbeats of the log; a tenth of the time after which members elect a new leader. */
  private static final long HEARTBEAT_MILLIS = 50;

  /** Longer than a small machine pauses for compilation or for a garbage collection. */
  private static final long ELECTION_MIN_MILLIS = 350;

  private static final long ELECTION_MAX_MILLIS = 700;

  private final ControlNodeSettings settings;
  private final EventLog log;
  private final Timer persistTime;
  private final NodeLinks links;
  private final DecisionLoop<ControlEvent, ControlEffect> loop;
  private final Map<Long, MonoSink<ControlAnswer>> calls = new ConcurrentHashMap<>();
  private final AtomicLong lastCall = new AtomicLong();
  private Optional<JournalDriver> journal = Optional.empty();
  private Optional<ControlReducer> reducer = Optional.empty();
  private long reopenNanos;

  /**
   * Makes a process that is not started yet.
   *
   * @param settings the settings
   * @param log structured log
   * @param meters receives the metrics
   * @param onFailure called when a decision fails and the process has to end
   */
  public ControlNode(
      ControlNodeSettings settings, EventLog log, MeterRegistry meters, Runnable onFailure) {
    this.settings = settings;
    this.log = log;
    this.persistTime = meters.timer("coltsfootwheel.journal.persist");
    this.links =
        new NodeLinks(
            settings.cluster(),
            settings.linkAddress(),
            settings.linkAddress().port(),
            this::received,
            log);
    this.loop =
        new DecisionLoop<>(
            this::decide, ControlEvent.Tick::new, TICK_MILLIS, this::execute, onFailure);
  }

  /** Opens the journal and starts to take part. */
  public void start() {
    links.start();
    loop.start();
  }

  /**
   * Takes a report of a target.
   *
   * @param report the report
   * @return the answer
   */
  public Mono<ControlAnswer> report(HeartbeatReport report) {
    return call(id -> new ControlEvent.ReportReceived(System.nanoTime(), id, report));
  }

  /**
   * Takes the word of a target that it leaves.
   *
   * @param target the target
   * @return the answer
   */
  public Mono<ControlAnswer> leave(TargetId target) {
    return call(id -> new ControlEvent.LeaveReceived(System.nanoTime(), id, target));
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
   * Reads the newest configuration.
   *
   * @return the answer
   */
  public Mono<ControlAnswer> read() {
    return call(id -> new ControlEvent.ReadRequested(System.nanoTime(), id));
  }

  /**
   * Replaces the control processes to ask while no group is known.
   *
   * @param seeds the processes
   */
  public void seeds(List<InstanceId> seeds) {
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
          long id = lastCall.incrementAndGet();
          calls.put(id, sink);
          sink.onDispose(() -> calls.remove(id));
          loop.post(event.apply(id));
        });
  }

  private void received(InstanceId from, NodeMessage message) {
    loop.post(new ControlEvent.MessageReceived(System.nanoTime(), from, message));
  }

  private List<ControlEffect> decide(ControlEvent event) {
    if (reducer.isEmpty()) {
      open(event.nowNanos());
    }
    return reducer.map(r -> r.apply(event)).orElseGet(() -> unavailable(event));
  }

  /** Answers calls while there is no journal; everything else is dropped. */
  private static List<ControlEffect> unavailable(ControlEvent event) {
    ControlAnswer answer = new ControlAnswer.Unavailable("the journal is not available");
    if (event instanceof ControlEvent.ReportReceived call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.LeaveReceived call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.ChangeRequested call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    if (event instanceof ControlEvent.ReadRequested call) {
      return List.of(new ControlEffect.Answer(call.requestId(), answer));
    }
    return List.of();
  }

  private void open(long nowNanos) {
    if (reopenNanos != 0 && nowNanos - reopenNanos < 0) {
      return;
    }
    reopenNanos = nowNanos + REOPEN_MILLIS * 1_000_000;
    try {
      Journal opened = Journal.open(settings.dataFolder());
      ControlSettings decisions = settings.decisions();
      MemberId self = new MemberId(decisions.self(), opened.diskId());
      ReplicationReducer replication =
          new ReplicationReducer(
              replicationSettings(self, decisions), opened.recovered(), nowNanos);
      reducer = Optional.of(new ControlReducer(decisions, self, replication, nowNanos));
      JournalDriver driver =
          new JournalDriver(opened, persistTime, e -> loop.post(new ControlEvent.Journal(e)));
      driver.start();
      journal = Optional.of(driver);
      log.write(LogEvent.of("journal.opened").with("member", self));
    } catch (ColtsfootwheelException e) {
      log.write(LogEvent.of("journal.unavailable").with("error", e.getMessage()));
    }
  }

  private static ReplicationSettings replicationSettings(MemberId self, ControlSettings decisions) {
    return new ReplicationSettings(
        self,
        decisions.initialMembers(),
        true,
        System.nanoTime() ^ self.hashCode(),
        HEARTBEAT_MILLIS * 1_000_000,
        ELECTION_MIN_MILLIS * 1_000_000,
        ELECTION_MAX_MILLIS * 1_000_000,
        MAX_BATCH_ENTRIES,
        ReplicationSettings.MAX_SNAPSHOT_CHUNK_BYTES,
        MAX_UNCOMMITTED,
        ReplicationSettings.MAX_SNAPSHOT_CHUNK_BYTES,
        RETAINED_ENTRIES);
  }

  private void execute(ControlEffect effect) {
    if (effect instanceof ControlEffect.Send send) {
      links.send(send.to(), send.message());
    } else if (effect instanceof ControlEffect.Persist persist) {
      journal.ifPresent(j -> j.submit(persist.effect()));
    } else if (effect instanceof ControlEffect.Peers peers) {
      links.peers(peers.members(), peers.entries());
    } else if (effect instanceof ControlEffect.Answer answer) {
      MonoSink<ControlAnswer> sink = calls.remove(answer.requestId());
      if (sink != null) {
        sink.success(answer.answer());
      }
    } else if (effect instanceof ControlEffect.Log line) {
      log.write(line.event());
    } else if (effect instanceof ControlEffect.JournalLost) {
      closeJournal();
    }
  }

  /** Ends the failed journal, so that the next event opens it again. */
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
