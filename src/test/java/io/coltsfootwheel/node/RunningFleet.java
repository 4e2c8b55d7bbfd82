package io.coltsfootwheel.node;

import com.sun.net.httpserver.HttpServer;
import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.journal.Journal;
import io.coltsfootwheel.keyspace.HeartbeatReport;
import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetPhase;
import io.coltsfootwheel.keyspace.TargetRecord;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.relay.ProtocolHeaderNames;
import io.coltsfootwheel.relay.Relay;
import io.coltsfootwheel.relay.RelaySettings;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.IntStream;
import reactor.core.publisher.Mono;

/** Control and entry processes over sockets, in one Java process, with one target. */
final class RunningFleet implements AutoCloseable {
  static final ServiceName SERVICE = ServiceName.of("any");

  /** Address of all clients' listeners, and the host of all routes. */
  static final String CLIENT_HOST = "127.0.6.1";

  private static final AvailabilityZone ZONE = AvailabilityZone.of("z");
  private static final ProtocolHeaderNames HEADER_NAMES =
      new ProtocolHeaderNames(
          "id", "deadline", "key", "expected", "signature", "rejected", "leaving", "load");
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_REDIRECTS = 2;
  private static final int TOLERATED_LOSSES = 2;
  private static final int TARGET_THREADS = 8;
  private static final int TARGET_SLOTS = 50;
  private static final long TARGET_START_MILLIS = 1;
  private static final long BIND_RETRY_MILLIS = 50;

  private final Path folder;
  private final int linkPort;
  private final EventLog log = new EventLog(line -> {}, Map.of());
  private final AtomicInteger failures = new AtomicInteger();
  private final List<ControlNode> controls = new ArrayList<>();
  private final List<EntryNode> entries = new ArrayList<>();
  private final List<Integer> clientPorts = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ExecutorService targetThreads = Executors.newFixedThreadPool(TARGET_THREADS);
  private final HttpServer target;
  private final int[] disks;
  private int lastDisk;
  private final AtomicInteger lastReportSequence = new AtomicInteger();

  RunningFleet(Path folder, int controlCount, int entryCount) throws Exception {
    this.folder = folder;
    this.linkPort = freePort(member(0).value());
    this.target = startTarget();
    this.disks = IntStream.range(0, controlCount).toArray();
    this.lastDisk = controlCount;
    for (int i = 0; i < controlCount; i++) {
      controls.add(startControl(i, controlCount));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(startEntry(i));
    }
  }

  private static InstanceId member(int index) {
    return InstanceId.of("127.0.5." + (index + 1));
  }

  private static int freePort(String host) throws IOException {
    try (ServerSocket probe = new ServerSocket()) {
      probe.bind(new InetSocketAddress(host, 0));
      return probe.getLocalPort();
    }
  }

  private HttpServer startTarget() throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(CLIENT_HOST, 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.getResponseHeaders().set("id", exchange.getRequestHeaders().getFirst("id"));
          exchange.getResponseHeaders().set("signature", "s");
          exchange.sendResponseHeaders(200, -1);
          exchange.close();
        });
    server.setExecutor(targetThreads);
    server.start();
    return server;
  }

  /** Starts a control process on its disk; retried while the port of the one before is in use. */
  private ControlNode startControl(int index, int controlCount) throws InterruptedException {
    while (true) {
      ControlNode node =
          new ControlNode(
              new ControlNodeSettings(
                  "test",
                  new Address(member(index).value(), linkPort),
                  IntStream.range(0, controlCount).mapToObj(RunningFleet::member).toList(),
                  true,
                  TOLERATED_LOSSES,
                  4_000,
                  OwnershipSettings.of(1_000, 10_000),
                  folder.resolve("disk-" + disks[index]),
                  Set.of(),
                  100),
              Journal::open,
              call -> Mono.just(TargetCallResult.of(TargetCallResult.Outcome.UNKNOWN)),
              log,
              new SimpleMeterRegistry(),
              (eventType, failure) -> failures.incrementAndGet());
      try {
        node.start();
        return node;
      } catch (ColtsfootwheelException e) {
        node.close();
        Thread.sleep(BIND_RETRY_MILLIS);
      }
    }
  }

  private EntryNode startEntry(int index) throws IOException {
    int clientPort = freePort(CLIENT_HOST);
    String host = "127.0.6." + (index + 1);
    Relay relay =
        new Relay(
            new RelaySettings(
                new Address(CLIENT_HOST, clientPort),
                ZONE,
                HEADER_NAMES,
                2_000,
                1,
                100,
                10_000,
                index),
            log,
            new SimpleMeterRegistry());
    EntryNode entry =
        new EntryNode(
            new EntryNodeSettings(
                "test",
                new Address(host, freePort(host)),
                linkPort,
                List.of(member(0), member(1)),
                100),
            relay,
            log);
    entry.start();
    clientPorts.add(clientPort);
    return entry;
  }

  int controlCount() {
    return controls.size();
  }

  int entryCount() {
    return entries.size();
  }

  /** Returns how often a decision loop has failed. */
  int failureCount() {
    return failures.get();
  }

  synchronized ControlNode control(int index) {
    return controls.get(index);
  }

  private synchronized void setControl(int index, ControlNode node) {
    controls.set(index, node);
  }

  /** Ends a control process and starts it again on its disk. */
  void restartControl(int index) throws InterruptedException {
    control(index).close();
    setControl(index, startControl(index, controls.size()));
  }

  /** Ends all control processes, then starts them again on their disks. */
  void restartAllControls() throws InterruptedException {
    for (int i = 0; i < controls.size(); i++) {
      control(i).close();
    }
    for (int i = 0; i < controls.size(); i++) {
      setControl(i, startControl(i, controls.size()));
    }
  }

  /** Ends a control process and starts it again on an empty disk. */
  void replaceDisk(int index) throws InterruptedException {
    disks[index] = ++lastDisk;
    restartControl(index);
  }

  /** Returns the control process that leads, if one answers a read itself. */
  Optional<Integer> leader() {
    return IntStream.range(0, controls.size())
        .filter(i -> answer(control(i), ControlNode::read) instanceof ControlAnswer.Current)
        .boxed()
        .findFirst();
  }

  /** Calls a control process as the platform's callers do: follows redirects, waits a second. */
  ControlAnswer call(int index, Function<ControlNode, Mono<ControlAnswer>> call) {
    ControlAnswer answer = answer(control(index), call);
    for (int i = 0; i < MAX_REDIRECTS && answer instanceof ControlAnswer.Redirect redirect; i++) {
      int next = Integer.parseInt(redirect.leader().value().substring("127.0.5.".length())) - 1;
      answer = answer(control(next), call);
    }
    return answer;
  }

  private static ControlAnswer answer(
      ControlNode node, Function<ControlNode, Mono<ControlAnswer>> call) {
    return call.apply(node)
        .timeout(CALL_TIMEOUT, Mono.just(new ControlAnswer.Unavailable("no answer")))
        .block();
  }

  /** Lets the target report to a control process. */
  void report(int index) {
    HeartbeatReport report =
        new HeartbeatReport(
            new TargetRecord(
                TargetId.of("a"),
                TARGET_START_MILLIS,
                SERVICE,
                new Address(CLIENT_HOST, target.getAddress().getPort()),
                ZONE,
                TARGET_SLOTS,
                TargetPhase.READY),
            lastReportSequence.incrementAndGet(),
            0,
            List.of(),
            List.of());
    call(index, node -> node.report(report));
  }

  /** Sends a request to an entry and returns the status, or 0 without a response. */
  int request(int entry, String path) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + CLIENT_HOST + ":" + clientPorts.get(entry) + path))
            .header("id", "r-" + System.nanoTime())
            .header("deadline", "2000")
            .timeout(REQUEST_TIMEOUT)
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  @Override
  public void close() throws InterruptedException {
    entries.forEach(EntryNode::close);
    for (ControlNode control : controls) {
      control.close();
    }
    target.stop(0);
    targetThreads.shutdownNow();
    log.close();
  }
}
