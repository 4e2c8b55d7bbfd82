package io.coltsfootwheel.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.StampSigner;
import io.coltsfootwheel.edge.CallerServer;
import io.coltsfootwheel.edge.CallerServerSettings;
import io.coltsfootwheel.edge.OperatorServer;
import io.coltsfootwheel.edge.ResponseRelay;
import io.coltsfootwheel.edge.TargetClient;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.link.ForwardFrame;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.FrameKind;
import io.coltsfootwheel.link.LinkChannel;
import io.coltsfootwheel.link.LinkListener;
import io.coltsfootwheel.link.LinkSettings;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.link.RequestIdFrame;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.runtime.DecisionLoop;
import io.coltsfootwheel.settings.ControlMember;
import io.coltsfootwheel.settings.DaemonSettings;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A running instance: the reducer that decides, the drivers that execute its decisions, and the
 * servers for callers, operators and other instances.
 */
final class Daemon implements LinkListener {
  private static final Logger LOG = LogManager.getLogger(Daemon.class);
  private static final long RELAY_IDLE_MILLIS = 60_000;
  private static final long SHUTDOWN_POLL_MILLIS = 20;
  private static final long TICK_MILLIS = 10;

  /** Time after the longest deadline within which the entry and the dispatchers answer requests. */
  private static final long SHUTDOWN_GRACE_MILLIS = 2_000;

  /**
   * Time for which the link stays open after the last response was queued. In this time the queue
   * is written, and requests of entries that have not learned yet that the grants have moved are
   * refused; without a refusal, their outcome would be unknown.
   */
  private static final long LINK_LINGER_MILLIS = 500;

  private final DaemonSettings settings;
  private final InstanceId self;
  private final Map<InstanceId, Address> memberAddresses;

  /**
   * Link addresses of subscribed instances, which may not be registered yet. Entries are never
   * removed; their number is bounded by the number of distinct instance names.
   */
  private final Map<InstanceId, Address> subscriberAddresses = new HashMap<>();

  private final LinkTransport link;
  private final ResponseRelay relay;
  private final TargetClient targets = TargetClient.create(TargetClient.CONTROL_TIMEOUT_MILLIS);
  private final TargetPools targetPools;
  private final LingeringPeers lingeringPeers;
  private final EntryDriver entryDriver;
  private final DispatchDriver dispatchDriver;
  private final PendingAnswers answers;
  private final RequestRecorder recorder;
  private final FleetErrorBudget errorBudget;
  private final Optional<MemberJournal> journal;
  private final InstanceReducer reducer;
  private final DecisionLoop<InstanceEvent, InstanceEffect> loop;
  private final CallerServer callerServer;
  private final OperatorServer operatorServer;
  private final CountDownLatch shutdownReady = new CountDownLatch(1);
  private final CountDownLatch failed = new CountDownLatch(1);
  private volatile ControlState state = ControlState.empty();
  private volatile String stamp = "";
  private volatile InstanceHealth health = InstanceHealth.NONE;

  Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.self = settings.instance();
    this.memberAddresses = memberAddresses(settings);
    byte[] key = readBytes(settings.sharedKeyFile());
    String session = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    StampSigner signer = new StampSigner(key);
    PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    this.link =
        LinkTransport.of(
            LinkSettings.of(
                settings.clusterName(),
                self,
                session,
                settings.linkAddress().host(),
                settings.linkAddress().port(),
                key));
    this.relay = ResponseRelay.of(link, RELAY_IDLE_MILLIS);
    this.targetPools = new TargetPools(self, targets);
    this.lingeringPeers = new LingeringPeers(settings.limits().deadlineMaximumMillis());
    this.recorder = new RequestRecorder(meters, System::nanoTime, settings.objectives());
    this.errorBudget =
        new FleetErrorBudget(
            self,
            settings.objectives(),
            () -> state,
            recorder,
            (to, message) -> link.send(to, message.toFrame()));
    this.answers = new PendingAnswers(this::post);
    this.entryDriver = new EntryDriver(self, signer, link, relay, this::post, recorder);
    this.dispatchDriver = new DispatchDriver(self, signer, targets, relay, entryDriver, this::post);
    InstanceReducerFactory reducers =
        new InstanceReducerFactory(settings, session, List.copyOf(memberAddresses.keySet()));
    this.journal = settings.dataFolder().map(folder -> memberJournal(folder, reducers, meters));
    this.reducer = reducers.instance(journal.map(MemberJournal::open));
    this.loop = decisionLoop(signer);
    this.callerServer =
        CallerServer.of(
            callerSettings(settings),
            entryDriver,
            new TargetChanges(answers, () -> state),
            () -> stamp);
    ObjectMapper json = new ObjectMapper().registerModule(new Jdk8Module());
    OperatorRoutes routes =
        new OperatorRoutes(
            settings, () -> state, () -> health.ready(), answers, errorBudget, meters, json);
    this.operatorServer =
        OperatorServer.of(
            settings.operatorAddress().host(),
            settings.operatorAddress().port(),
            new String(readBytes(settings.operatorTokenFile()), StandardCharsets.UTF_8).strip(),
            routes.routes());
    bindMetrics(new DaemonMetrics(meters));
  }

  private DecisionLoop<InstanceEvent, InstanceEffect> decisionLoop(StampSigner signer) {
    return new DecisionLoop<>(
        reducer::apply,
        InstanceEvent.Tick::new,
        TICK_MILLIS,
        effect -> execute(effect, signer),
        (eventType, failure) -> failed.countDown());
  }

  /** Starts the journal, the decision loop and the servers. A shutdown waits for the end of it. */
  synchronized void start() {
    link.start(this);
    link.replacePeers(linkedPeers(ControlState.empty()));
    journal.ifPresent(MemberJournal::start);
    loop.start();
    callerServer.start();
    operatorServer.start();
    LOG.info(
        "started instance={} zone={} http={} link={} operator={} member={}",
        self,
        settings.zone(),
        settings.httpAddress(),
        settings.linkAddress(),
        settings.operatorAddress(),
        settings.isControlMember());
  }

  /**
   * Waits until the decision loop has failed. The caller then ends the process, so that the process
   * supervisor can restart it.
   *
   * @throws InterruptedException when the wait is interrupted
   */
  void awaitFailure() throws InterruptedException {
    failed.await();
  }

  /**
   * Shuts down gracefully: refuses new requests as not run, waits until the requests in flight here
   * and at its dispatchers have ended, their responses are relayed and the dispatch grants are
   * returned, then closes the servers. The wait ends after the longest deadline that a request may
   * have.
   */
  synchronized void shutDown() {
    LOG.info(
        "shutting down: waiting for {} requests in flight and the return of dispatch grants",
        callerServer.inFlight());
    callerServer.refuseNewRequests(true);
    post(new InstanceEvent.ShutdownRequested(System.nanoTime()));
    long timeoutMillis = settings.limits().deadlineMaximumMillis() + SHUTDOWN_GRACE_MILLIS;
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      boolean ready = shutdownReady.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      while (hasUnfinishedResponses() && System.nanoTime() - deadlineNanos < 0) {
        TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
      }
      if (!ready || hasUnfinishedResponses()) {
        LOG.warn(
            "shutdown incomplete after {} ms: dispatchers ended {}, {} requests in flight,"
                + " {} responses being relayed",
            timeoutMillis,
            ready,
            callerServer.inFlight(),
            relay.outgoingResponses());
      }
      close(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LINK_LINGER_MILLIS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    LOG.info("shutdown complete, {} requests in flight were aborted", callerServer.inFlight());
  }

  private boolean hasUnfinishedResponses() {
    return callerServer.inFlight() > 0 || relay.outgoingResponses() > 0;
  }

  @Override
  public void received(InstanceId from, String session, Frame frame) {
    if (frame.kind().channel() == LinkChannel.CONTROL) {
      receiveControl(from, frame);
      return;
    }
    switch (frame.kind()) {
      case FORWARD -> dispatchDriver.offer(from, session, ForwardFrame.decode(frame.payload()));
      case CANCEL ->
          dispatchDriver.cancel(from, session, RequestIdFrame.decode(frame.payload()).requestId());
      default -> relay.received(from, frame);
    }
  }

  @Override
  public void notWritten(InstanceId peer, Frame frame) {
    if (frame.kind() == FrameKind.FORWARD) {
      entryDriver.forwardNotWritten(peer, ForwardFrame.decode(frame.payload()).requestId());
    }
  }

  @Override
  public void disconnected(InstanceId peer, LinkChannel channel) {
    if (channel == LinkChannel.DATA) {
      relay.disconnected(peer);
    }
  }

  private void receiveControl(InstanceId from, Frame frame) {
    try {
      ControlMessage message = ControlMessage.decode(frame);
      if (!errorBudget.receive(from, message)) {
        post(new InstanceEvent.MessageReceived(System.nanoTime(), from, message));
      }
    } catch (ColtsfootwheelException e) {
      LOG.warn("control frame {} from {} refused: {}", frame.kind(), from, e.getMessage());
    }
  }

  private void execute(InstanceEffect effect, StampSigner signer) {
    if (effect instanceof InstanceEffect.SendMessage send) {
      link.send(send.to(), send.message().toFrame());
    } else if (effect instanceof InstanceEffect.AddPeer peer) {
      addPeer(peer);
    } else if (effect instanceof InstanceEffect.Dispatch dispatchEffect) {
      dispatchDriver.execute(dispatchEffect.effect());
    } else if (effect instanceof InstanceEffect.Entry entryEffect) {
      executeEntry(entryEffect.effect());
    } else if (effect instanceof InstanceEffect.Persist persist) {
      journal.ifPresent(driver -> driver.submit(persist.effect()));
    } else if (effect instanceof InstanceEffect.PersistSnapshot persist) {
      journal.ifPresent(driver -> driver.submit(persist.effect()));
    } else if (effect instanceof InstanceEffect.ReopenJournal) {
      journal.ifPresent(MemberJournal::reopen);
    } else if (effect instanceof InstanceEffect.PublishState publication) {
      publish(publication.state(), signer);
    } else if (effect instanceof InstanceEffect.AnswerProposal answer) {
      answers.complete(answer);
    } else if (effect instanceof InstanceEffect.AnswerReport answer) {
      answers.complete(answer);
    } else if (effect instanceof InstanceEffect.LogChange change) {
      LOG.info(change.text());
    } else if (effect instanceof InstanceEffect.ShutdownReady) {
      shutdownReady.countDown();
    }
  }

  private void executeEntry(EntryEffect effect) {
    if (effect instanceof EntryEffect.Forward forward && forward.instance().equals(self)) {
      dispatchDriver.offerLocally(forward);
    } else if (effect instanceof EntryEffect.CancelForward cancel
        && cancel.instance().equals(self)) {
      dispatchDriver.removeCancelled(cancel.requestId());
    } else {
      entryDriver.execute(effect);
    }
  }

  private void publish(ControlState newState, StampSigner signer) {
    recorder.recordOwnerChanges(state, newState);
    state = newState;
    stamp = signer.format(newState.appliedIndex());
    link.replacePeers(linkedPeers(newState));
    targetPools.update(newState);
  }

  private void addPeer(InstanceEffect.AddPeer peer) {
    Address previousAddress = subscriberAddresses.put(peer.instance(), peer.linkAddress());
    if (!peer.linkAddress().equals(previousAddress)) {
      link.replacePeers(linkedPeers(state));
    }
  }

  private Map<InstanceId, Address> linkedPeers(ControlState current) {
    return lingeringPeers.replace(System.nanoTime(), peers(current));
  }

  private Map<InstanceId, Address> peers(ControlState current) {
    Map<InstanceId, Address> peers = new HashMap<>(subscriberAddresses);
    peers.putAll(memberAddresses);
    current.instances().forEach(instance -> peers.put(instance.id(), instance.linkAddress()));
    peers.remove(self);
    return peers;
  }

  private MemberJournal memberJournal(
      Path folder, InstanceReducerFactory reducers, MeterRegistry meters) {
    return new MemberJournal(
        folder,
        Journal::open,
        reducers::member,
        meters.timer("coltsfootwheel.journal.persist"),
        this::post);
  }

  private void post(InstanceEvent event) {
    loop.post(event);
  }

  /**
   * Refreshes the state that the readiness endpoint and the metrics show.
   *
   * @return the delay until the next refresh
   */
  Duration refreshHealth() {
    loop.query(() -> reducer.health(System.nanoTime())).subscribe(value -> health = value);
    return Duration.ofMillis(100);
  }

  /** Closes the servers, and the link not before a given time. */
  private void close(long linkCloseNanos) throws InterruptedException {
    callerServer.close();
    operatorServer.close();
    TimeUnit.NANOSECONDS.sleep(linkCloseNanos - System.nanoTime());
    targets.close();
    loop.close();
    relay.close();
    link.close();
    if (journal.isPresent()) {
      journal.get().close();
    }
  }

  private void bindMetrics(DaemonMetrics metrics) {
    metrics.bind(link);
    metrics.bind(loop);
    metrics.gauge("coltsfootwheel.applied.index", () -> state.appliedIndex());
    metrics.gauge("coltsfootwheel.term", () -> health.term());
    metrics.gauge("coltsfootwheel.leading", () -> health.leading() ? 1 : 0);
    metrics.gauge("coltsfootwheel.leased", () -> health.leased() ? 1 : 0);
    metrics.gauge("coltsfootwheel.requests.in.flight", callerServer::inFlight);
  }

  private static CallerServerSettings callerSettings(DaemonSettings settings) {
    CallerServerSettings defaults =
        CallerServerSettings.of(settings.httpAddress().host(), settings.httpAddress().port());
    return new CallerServerSettings(
        defaults.host(),
        defaults.port(),
        settings.limits().bodyBytes(),
        defaults.maxHeaderBytes(),
        defaults.maxUriBytes(),
        settings.limits().concurrentRequests(),
        defaults.idleTimeoutMillis(),
        settings.limits().deadlineDefaultMillis(),
        settings.limits().deadlineMaximumMillis());
  }

  private static Map<InstanceId, Address> memberAddresses(DaemonSettings settings) {
    Map<InstanceId, Address> addresses = new HashMap<>();
    for (ControlMember member : settings.controlMembers()) {
      addresses.put(member.instance(), member.linkAddress());
    }
    return addresses;
  }

  private static byte[] readBytes(Path file) {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
