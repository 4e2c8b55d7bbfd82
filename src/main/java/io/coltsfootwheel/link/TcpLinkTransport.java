package io.coltsfootwheel.link;

import io.coltsfootwheel.listener.ConnectionLimiter;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.resolver.DefaultAddressResolverGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** Link transport based on Reactor Netty. */
final class TcpLinkTransport implements LinkTransport, LinkContext {
  private static final int EVENT_LOOP_THREADS =
      Math.max(2, Runtime.getRuntime().availableProcessors() / 4);

  /** Larger than any HELLO frame; limits the memory that unauthenticated peers can occupy. */
  private static final int MAX_HANDSHAKE_FRAME_BYTES = 4096;

  /** Sizes of Netty's outbound buffer below which writing resumes and above which it pauses. */
  private static final WriteBufferWaterMark WRITE_BUFFER_LIMITS =
      new WriteBufferWaterMark(256 * 1024, 1024 * 1024);

  private static final long MIN_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 1_000;
  private static final int MAX_BACKOFF_DOUBLINGS = 6;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  private final LinkSettings settings;
  private final LinkFailureLog failureLog = new LinkFailureLog();
  private final LinkTraffic traffic = new LinkTraffic();
  private final InboundConnections inboundConnections = new InboundConnections();
  private final LoopResources eventLoops = LoopResources.create("link", EVENT_LOOP_THREADS, true);
  private final SendMemory sendMemory;
  private final ConnectionLimiter connectionLimiter;
  private final TcpClient client;
  private final Random jitter;

  private volatile Map<InstanceId, Peer> peers = Map.of();
  private LinkListener listener;
  private DisposableServer server;
  private final Set<Connection> acceptedConnections = new HashSet<>();
  private boolean closed;

  TcpLinkTransport(LinkSettings settings) {
    this.settings = settings;
    this.sendMemory = new SendMemory(settings.maxTotalQueueBytes());
    this.connectionLimiter = new ConnectionLimiter(settings.maxInboundConnections());
    this.jitter = new Random(settings.seed());
    this.client =
        TcpClient.create(ConnectionProvider.newConnection())
            .resolver(DefaultAddressResolverGroup.INSTANCE)
            .runOn(eventLoops)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS);
  }

  @Override
  public synchronized Address start(LinkListener newListener, ListenerBinder binder) {
    listener = newListener;
    Handshake.warmUp(settings);
    TcpServer tcpServer =
        TcpServer.create()
            .runOn(eventLoops)
            .host(settings.host())
            .port(settings.port())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .doOnConnection(this::addInboundHandlers)
            .handle((in, out) -> Mono.never());
    server =
        binder.bind("link address " + settings.host() + ":" + settings.port(), tcpServer::bindNow);
    return new Address(settings.host(), server.port());
  }

  @Override
  public boolean send(InstanceId to, Frame frame) {
    Peer peer = peers.get(to);
    if (peer == null) {
      failureLog.count(LinkFailure.UNKNOWN_PEER);
      return false;
    }
    if (frame.payload().length > Frame.MAX_PAYLOAD_BYTES) {
      failureLog.count(LinkFailure.FRAME_TOO_LARGE);
      return false;
    }
    return (frame.kind().channel() == LinkChannel.DATA ? peer.data : peer.control).send(frame);
  }

  @Override
  public void replacePeers(Map<InstanceId, Address> addresses) {
    List<Peer> removed = new ArrayList<>();
    Map<InstanceId, Peer> updated = new HashMap<>();
    synchronized (this) {
      if (closed) {
        return;
      }
      addresses.forEach((id, address) -> reuseOrCreatePeer(updated, id, address));
      peers.forEach(
          (id, peer) -> {
            if (updated.get(id) != peer) {
              removed.add(peer);
            }
          });
      peers = Map.copyOf(updated);
    }
    removed.forEach(Peer::shutdown);
    updated.values().forEach(peer -> peer.control.open());
  }

  private void reuseOrCreatePeer(Map<InstanceId, Peer> updated, InstanceId id, Address address) {
    if (id.equals(settings.instance())) {
      return;
    }
    Peer existing = peers.get(id);
    updated.put(
        id,
        existing != null && existing.control.address().equals(address)
            ? existing
            : new Peer(id, address, this));
  }

  @Override
  public long failureCount(LinkFailure failure) {
    return failureLog.total(failure);
  }

  @Override
  public long frameCount(FrameKind kind, LinkDirection direction) {
    return traffic.frameCount(kind, direction);
  }

  @Override
  public long byteCount(FrameKind kind, LinkDirection direction) {
    return traffic.byteCount(kind, direction);
  }

  @Override
  public void close() {
    Map<InstanceId, Peer> closedPeers;
    List<Connection> inboundConnections;
    synchronized (this) {
      if (closed) {
        return;
      }
      closed = true;
      closedPeers = peers;
      peers = Map.of();
      inboundConnections = List.copyOf(acceptedConnections);
    }
    closedPeers.values().forEach(Peer::shutdown);
    if (server != null) {
      server.disposeNow(CLOSE_TIMEOUT);
    }
    inboundConnections.forEach(Connection::dispose);
    eventLoops.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).subscribe();
  }

  @Override
  public LinkSettings settings() {
    return settings;
  }

  @Override
  public LinkListener listener() {
    return listener;
  }

  @Override
  public LinkFailureLog failureLog() {
    return failureLog;
  }

  @Override
  public LinkTraffic traffic() {
    return traffic;
  }

  @Override
  public SendMemory sendMemory() {
    return sendMemory;
  }

  @Override
  public void connect(ConnectionAttempt attempt) {
    Address address = attempt.connection().address();
    client
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) settings.connectTimeoutMillis(attempt.failedAttempts()))
        .remoteAddress(() -> new InetSocketAddress(address.host(), address.port()))
        .doOnConnected(connection -> addOutboundHandlers(connection, attempt))
        .connect()
        .subscribe(connection -> {}, error -> attempt.failed(LinkFailure.CONNECT_FAILED));
  }

  @Override
  public void schedule(Runnable task, long delayMillis) {
    if (!eventLoops.onClient(false).isShuttingDown()) {
      eventLoops.onClient(false).schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public long backoffMillis(int failedAttempts) {
    int doublingCount = Math.min(MAX_BACKOFF_DOUBLINGS, Math.max(0, failedAttempts - 1));
    long ceiling = Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << doublingCount);
    // Half of the delay is random, so that peers of a restarted instance do not reconnect at once.
    return ceiling / 2 + jitter.nextInt((int) ceiling / 2 + 1);
  }

  private void addOutboundHandlers(Connection connection, ConnectionAttempt attempt) {
    connection.addHandlerLast(new FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES));
    connection.addHandlerLast(new OutboundHandler(settings, attempt));
    connection.channel().config().setAutoRead(true);
  }

  private void addInboundHandlers(Connection connection) {
    FrameDecoder decoder = new FrameDecoder(MAX_HANDSHAKE_FRAME_BYTES);
    InboundHandler handler =
        new InboundHandler(settings, listener, failureLog, traffic, decoder, inboundConnections);
    if (!connectionLimiter.admit(connection.channel(), () -> !handler.isReady())) {
      return;
    }
    synchronized (this) {
      if (closed) {
        connection.dispose();
        return;
      }
      acceptedConnections.add(connection);
    }
    connection.onDispose(() -> removeAccepted(connection));
    connection.addHandlerLast(decoder);
    connection.addHandlerLast(handler);
    connection.channel().config().setAutoRead(true);
  }

  private synchronized void removeAccepted(Connection connection) {
    acceptedConnections.remove(connection);
  }

  /** Control and data connection to one peer. */
  private static final class Peer {
    private final OutboundConnection control;
    private final OutboundConnection data;

    private Peer(InstanceId id, Address address, LinkContext context) {
      control = OutboundConnection.control(id, address, context);
      data = OutboundConnection.data(id, address, context, control);
    }

    private void shutdown() {
      control.shutdown();
      data.shutdown();
    }
  }
}
