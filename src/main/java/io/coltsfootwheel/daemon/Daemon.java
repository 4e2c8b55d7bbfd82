package io.coltsfootwheel.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.consensus.ReplicationReducer;
import io.coltsfootwheel.consensus.ReplicationSettings;
import io.coltsfootwheel.control.ControlState;
import io.coltsfootwheel.control.Supervisor;
import io.coltsfootwheel.dispatch.DispatchSettings;
import io.coltsfootwheel.dispatch.EntryEffect;
import io.coltsfootwheel.dispatch.EntryRouter;
import io.coltsfootwheel.dispatch.EntrySettings;
import io.coltsfootwheel.dispatch.StampSigner;
import io.coltsfootwheel.edge.CallerServer;
import io.coltsfootwheel.edge.CallerServerSettings;
import io.coltsfootwheel.edge.OperatorServer;
import io.coltsfootwheel.edge.ResponseRelay;
import io.coltsfootwheel.edge.TargetClient;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.link.ForwardFrame;
import io.coltsfootwheel.link.Frame;
import io.coltsfootwheel.link.LinkChannel;
import io.coltsfootwheel.link.LinkListener;
import io.coltsfootwheel.link.LinkSettings;
import io.coltsfootwheel.link.LinkTransport;
import io.coltsfootwheel.link.RequestIdFrame;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.InstanceSpec;
import io.coltsfootwheel.runtime.DecisionLoop;
import io.coltsfootwheel.runtime.JournalDriver;
import io.coltsfootwheel.settings.ControlMember;
import io.coltsfootwheel.settings.DaemonSettings;
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

/** One running instance: the reducer, its drivers and its servers. */
final class Daemon implements LinkListener {
  private static final Logger LOG = LogManager.getLogger(Daemon.class);
  private static final long RELAY_IDLE_MILLIS = 60_000;
  private static final long SHUTDOWN_POLL_MILLIS = 20;
  private static final long TICK_MILLIS = 10;

  private final DaemonSettings settings;
  private final InstanceId self;
  private final Map<InstanceId, Address> memberAddresses;

  /** CommandSubscribers by id; bounded by the number of names that instances have. */
  private final Map<InstanceId, Address> subscriberAddresses = new HashMap<>();

  private final LinkTransport link;
  private final ResponseRelay relay;
  private final TargetClient targets = TargetClient.create();
  private final TargetPools pools;
  private final EntryDriver entry;
  private final DispatchDriver dispatch;
  private final PendingAnswers answers;
  private final RequestRecorder recorder;
  private final FleetErrorBudget burn;
  private final Optional<JournalDriver> journal;
  private final InstanceReducer reducer;
  private final DecisionLoop<InstanceEvent, InstanceEffect> loop;
  private final CallerServer callers;
  private final OperatorServer operators;
  private final CountDownLatch shutdownReady = new CountDownLatch(1);
  private final CountDownLatch failed = new CountDownLatch(1);
  private volatile ControlState state = ControlState.empty();
  private volatile String stamp = "";
  private volatile InstanceHealth reading = InstanceHealth.NONE;

  Daemon(DaemonSettings settings) {
    this.settings = settings;
    this.self = settings.instance();
    this.memberAddresses = memberAddresses(settings);
    byte[] key = readBytes(settings.sharedKeyFile());
    String session = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    StampSigner stamps = new StampSigner(key);
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
    this.pools = new TargetPools(self, targets);
    this.recorder = new RequestRecorder(meters, System::nanoTime, settings.objectives());
    this.burn =
        new FleetErrorBudget(
            self,
            settings.objectives(),
            () -> state,
            recorder,
            (to, message) -> link.send(to, message.toFrame()));
    this.answers = new PendingAnswers(this::post);
    this.entry = new EntryDriver(self, stamps, link, relay, this::post, recorder);
    this.dispatch = new DispatchDriver(self, stamps, targets, relay, entry, this::post);
    Optional<Journal> opened = settings.dataFolder().map(Journal::open);
    this.journal =
        opened.map(
            j ->
                new JournalDriver(
                    j,
                    meters.timer("coltsfootwheel.journal.persist"),
                    e -> post(new InstanceEvent.Replication(e))));
    this.reducer = reducer(opened, session);
    this.loop = decisionLoop(stamps);
    this.callers =
        CallerServer.of(
            callerSettings(settings), entry, new TargetChanges(answers, () -> state), () -> stamp);
    ObjectMapper json = new ObjectMapper().registerModule(new Jdk8Module());
    OperatorRoutes routes =
        new OperatorRoutes(
            settings, () -> state, () -> reading.ready(), answers, burn, meters, json);
    this.operators =
        OperatorServer.of(
            settings.operatorAddress().host(),
            settings.operatorAddress().port(),
            new String(readBytes(settings.operatorTokenFile()), StandardCharsets.UTF_8).strip(),
            routes.routes());
    bindMetrics(new DaemonMetrics(meters));
  }

  private DecisionLoop<InstanceEvent, InstanceEffect> decisionLoop(StampSigner stamps) {
    return new DecisionLoop<>(
        reducer::apply,
        InstanceEvent.Tick::new,
        TICK_MILLIS,
        effect -> execute(effect, stamps),
        failed::countDown);
  }

  /** Starts the servers and the decisions. */
  void start() {
    link.start(this);
    link.peers(peers(ControlState.empty()));
    journal.ifPresent(JournalDriver::start);
    loop.start();
    callers.start();
    operators.start();
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
   * Waits until a decision fails; the process then ends so that a supervisor can restart it.
   *
   * @throws InterruptedException when the wait is interrupted
   */
  void awaitFailure() throws InterruptedException {
    failed.await();
  }

  /**
   * Ends without cutting off requests in flight: new ones are refused as not run, grants are given
   * back, then the servers close.
   */
  void shutDown() {
    LOG.info("shutting down: waiting for {} requests and for grants", callers.inFlight());
    callers.refuseNew(true);
    post(new InstanceEvent.ShutdownRequested(System.nanoTime()));
    long limitNanos =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(settings.limits().deadlineMaximumMillis());
    try {
      shutdownReady.await(limitNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      while (callers.inFlight() > 0 && System.nanoTime() - limitNanos < 0) {
        TimeUnit.MILLISECONDS.sleep(SHUTDOWN_POLL_MILLIS);
      }
      close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    LOG.info("shut down with {} requests cut off", callers.inFlight());
  }

  @Override
  public void received(InstanceId from, String session, Frame frame) {
    if (frame.kind().channel() == LinkChannel.CONTROL) {
      receiveControl(from, frame);
      return;
    }
    switch (frame.kind()) {
      case FORWARD -> dispatch.offer(from, session, ForwardFrame.decode(frame.payload()));
      case CANCEL ->
          dispatch.cancel(from, session, RequestIdFrame.decode(frame.payload()).requestId());
      default -> relay.received(from, frame);
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
      if (!burn.receive(from, message)) {
        post(new InstanceEvent.MessageReceived(System.nanoTime(), from, message));
      }
    } catch (ColtsfootwheelException e) {
      LOG.warn("control frame {} of {} refused: {}", frame.kind(), from, e.getMessage());
    }
  }

  private void execute(InstanceEffect effect, StampSigner stamps) {
    if (effect instanceof InstanceEffect.SendMessage send) {
      link.send(send.to(), send.message().toFrame());
    } else if (effect instanceof InstanceEffect.AddPeer peer) {
      rememberPeer(peer);
    } else if (effect instanceof InstanceEffect.Dispatch dispatched) {
      dispatch.execute(dispatched.effect());
    } else if (effect instanceof InstanceEffect.Entry entered) {
      enter(entered.effect());
    } else if (effect instanceof InstanceEffect.Persist persist) {
      journal.ifPresent(j -> j.submit(persist.effect()));
    } else if (effect instanceof InstanceEffect.PersistSnapshot persist) {
      journal.ifPresent(j -> j.submit(persist.effect()));
    } else if (effect instanceof InstanceEffect.PublishState published) {
      publish(published.state(), stamps);
    } else if (effect instanceof InstanceEffect.AnswerProposal answer) {
      answers.answered(answer);
    } else if (effect instanceof InstanceEffect.AnswerReport answer) {
      answers.answered(answer);
    } else if (effect instanceof InstanceEffect.LogChange change) {
      LOG.info(change.text());
    } else if (effect instanceof InstanceEffect.ShutdownReady) {
      shutdownReady.countDown();
    }
  }

  private void enter(EntryEffect effect) {
    if (effect instanceof EntryEffect.Forward forward && forward.instance().equals(self)) {
      dispatch.offerLocally(forward);
    } else if (effect instanceof EntryEffect.CancelForward cancel
        && cancel.instance().equals(self)) {
      dispatch.forget(cancel.requestId());
    } else {
      entry.execute(effect);
    }
  }

  private void publish(ControlState newer, StampSigner stamps) {
    recorder.observe(state, newer);
    state = newer;
    stamp = stamps.format(newer.appliedIndex());
    link.peers(peers(newer));
    pools.update(newer);
  }

  private void rememberPeer(InstanceEffect.AddPeer peer) {
    Address before = subscriberAddresses.put(peer.instance(), peer.linkAddress());
    if (!peer.linkAddress().equals(before)) {
      link.peers(peers(state));
    }
  }

  private Map<InstanceId, Address> peers(ControlState present) {
    Map<InstanceId, Address> peers = new HashMap<>(subscriberAddresses);
    peers.putAll(memberAddresses);
    present.instances().forEach(instance -> peers.put(instance.id(), instance.linkAddress()));
    peers.remove(self);
    return peers;
  }

  private InstanceReducer reducer(Optional<Journal> opened, String session) {
    long nowNanos = System.nanoTime();
    List<InstanceId> members = List.copyOf(memberAddresses.keySet());
    Optional<MemberReducer> member =
        opened.map(
            j -> {
              MemberId id = new MemberId(self, j.diskId());
              ReplicationSettings replication =
                  ReplicationSettings.of(id, settings.initialMembers(), true, session.hashCode());
              return new MemberReducer(
                  id,
                  new ReplicationReducer(replication, j.recovered(), nowNanos),
                  new Supervisor(),
                  settings.services(),
                  members,
                  MemberReducer.COMMANDS_BETWEEN_SNAPSHOTS);
            });
    Optional<StateFollower> follower =
        member.isPresent()
            ? Optional.empty()
            : Optional.of(
                new StateFollower(members, self, settings.advertisedLinkAddress(), nowNanos));
    InstanceSpec spec =
        new InstanceSpec(
            self,
            settings.zone(),
            settings.advertisedLinkAddress(),
            settings.advertisedHttpAddress(),
            session);
    LeaseClient lease = new LeaseClient(spec, nowNanos);
    EntryRouter router =
        new EntryRouter(
            self, session, settings.zone(), EntrySettings.defaults(), session.hashCode());
    RequestReducer requests = new RequestReducer(self, lease.session(), dispatchSettings(), router);
    return new InstanceReducer(self, members, member, follower, lease, requests);
  }

  private DispatchSettings dispatchSettings() {
    DispatchSettings defaults = DispatchSettings.defaults();
    return new DispatchSettings(
        settings.limits().queueFactor(),
        defaults.maxIdentityRecords(),
        defaults.identityRetentionMillis());
  }

  private void post(InstanceEvent event) {
    loop.post(event);
  }

  /**
   * Publishes whether the instance is ready, for the readiness endpoint.
   *
   * @return the period between readings
   */
  Duration refreshReadiness() {
    loop.query(() -> reducer.reading(System.nanoTime())).subscribe(value -> reading = value);
    return Duration.ofMillis(100);
  }

  private void close() throws InterruptedException {
    callers.close();
    operators.close();
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
    metrics.gauge("coltsfootwheel.term", () -> reading.term());
    metrics.gauge("coltsfootwheel.leading", () -> reading.leading() ? 1 : 0);
    metrics.gauge("coltsfootwheel.leased", () -> reading.leased() ? 1 : 0);
    metrics.gauge("coltsfootwheel.requests.in.flight", callers::inFlight);
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
        defaults.idleMillis(),
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
