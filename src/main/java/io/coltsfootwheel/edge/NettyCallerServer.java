package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Server over Reactor Netty. */
final class NettyCallerServer implements CallerServer {
  /** Method, version and separators of a request line. */
  private static final int REQUEST_LINE_EXTRA_BYTES = 32;

  private static final long OVERLOAD_RETRY_MILLIS = 1_000;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Time for callers to use and thereby end their warm connections: a request that arrives on a
   * connection while it is closed would be reset, and its outcome unknown to the caller.
   */
  private static final long DRAIN_MILLIS = 1_000;

  private static final long DRAIN_POLL_MILLIS = 20;

  private final CallerServerSettings settings;
  private final RequestHandler handler;
  private final ResponseWriter writer;
  private final AnnouncementEndpoint announcementEndpoint;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong lastRequestId = new AtomicLong();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  private volatile boolean refusing;
  private volatile DisposableServer server;

  NettyCallerServer(
      CallerServerSettings settings,
      RequestHandler handler,
      TargetAnnouncements announcements,
      Supplier<String> stamp) {
    this.settings = settings;
    this.handler = handler;
    this.writer = new ResponseWriter(stamp);
    this.announcementEndpoint = new AnnouncementEndpoint(announcements, writer);
  }

  @Override
  public Address start() {
    try {
      server =
          HttpServer.create()
              .host(settings.host())
              .port(settings.port())
              .idleTimeout(Duration.ofMillis(settings.idleMillis()))
              .httpRequestDecoder(
                  spec ->
                      spec.maxInitialLineLength(settings.maxUriBytes() + REQUEST_LINE_EXTRA_BYTES)
                          .maxHeaderSize(settings.maxHeaderBytes()))
              .doOnChannelInit((observer, channel, remote) -> addChannelHandler(channel))
              .handle(this::route)
              .bindNow();
    } catch (RuntimeException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS,
          "HTTP address " + settings.host() + ":" + settings.port() + " cannot be bound",
          e);
    }
    return new Address(settings.host(), server.port());
  }

  @Override
  public void refuseNew(boolean refuse) {
    refusing = refuse;
    writer.endConnections(refuse);
  }

  @Override
  public int inFlight() {
    return inFlight.get();
  }

  @Override
  public void close() {
    DisposableServer open = server;
    if (open != null) {
      open.channel().close().syncUninterruptibly();
      awaitCallersLeft();
      open.disposeNow(CLOSE_TIMEOUT);
    }
  }

  private void awaitCallersLeft() {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
    while (refusing && !connections.isEmpty() && System.nanoTime() - endNanos < 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_MILLIS));
    }
  }

  private void addChannelHandler(Channel channel) {
    connections.add(channel);
    channel
        .pipeline()
        .addAfter(NettyPipeline.HttpCodec, CallerChannelHandler.NAME, new CallerChannelHandler());
  }

  private Publisher<Void> route(HttpServerRequest request, HttpServerResponse response) {
    String uri = request.uri();
    if (uri.startsWith(CallerRequestParser.PREFIX)) {
      return serve(request, response);
    }
    if (uri.startsWith(AnnouncementEndpoint.PATH)) {
      return announcementEndpoint.handle(request, response);
    }
    return writer.failure(
        response, ColtsfootwheelException.of(ErrorKind.NOT_FOUND, "no endpoint " + uri));
  }

  private Mono<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    if (refusing) {
      return refuseWhileShuttingDown(request, response);
    }
    if (inFlight.incrementAndGet() > settings.maxRequests()) {
      inFlight.decrementAndGet();
      return writer.error(
          response, refusal(ErrorKind.OVERLOADED, "too many requests at this instance"));
    }
    Exchange exchange = new Exchange(handler);
    request.withConnection(
        connection ->
            connection.channel().pipeline().get(CallerChannelHandler.class).begin(exchange));
    return exchange(request, response, exchange)
        .doOnCancel(exchange::callerLeft)
        // Errors of the handler have become responses, so this one is a failed write.
        .doOnError(error -> exchange.callerLeft())
        .doFinally(
            signal -> {
              exchange.finished();
              inFlight.decrementAndGet();
            });
  }

  /** Reads the body first: closing with unread bytes resets the connection and the refusal. */
  private Mono<Void> refuseWhileShuttingDown(
      HttpServerRequest request, HttpServerResponse response) {
    CallerResponse.Error refusal = refusal(ErrorKind.SHUTTING_DOWN, "instance is shutting down");
    Mono<Void> bodyRead =
        BodyReader.hasBody(request.requestHeaders())
            ? BodyReader.read(request, settings.maxBodyBytes()).then().onErrorComplete()
            : Mono.empty();
    return bodyRead.then(Mono.defer(() -> writer.error(response, refusal)));
  }

  private Mono<Void> exchange(
      HttpServerRequest request, HttpServerResponse response, Exchange exchange) {
    CallerRequest head;
    Mono<byte[]> body;
    try {
      head =
          CallerRequestParser.parse(
              settings,
              lastRequestId.incrementAndGet(),
              request.method().name(),
              request.uri(),
              request.requestHeaders(),
              System.nanoTime());
      body =
          BodyReader.hasBody(request.requestHeaders())
              ? BodyReader.read(request, settings.maxBodyBytes())
              : null;
    } catch (ColtsfootwheelException e) {
      return writer.failure(response, e);
    }
    Mono<CallerResponse> result =
        body == null
            ? handle(exchange, head)
            : body.map(bytes -> withBody(head, bytes)).flatMap(full -> handle(exchange, full));
    return result
        .onErrorResume(error -> Mono.just(ResponseWriter.asError(response, error)))
        .flatMap(answer -> writer.write(request, response, answer, exchange));
  }

  private Mono<CallerResponse> handle(Exchange exchange, CallerRequest request) {
    return exchange.begin(request) ? handler.handle(request) : Mono.empty();
  }

  private static CallerResponse.Error refusal(ErrorKind kind, String detail) {
    return new CallerResponse.Error(kind, kind.outcome(), detail, OVERLOAD_RETRY_MILLIS);
  }

  private static CallerRequest withBody(CallerRequest head, byte[] body) {
    return new CallerRequest(
        head.requestId(),
        head.service(),
        head.key(),
        head.customer(),
        head.identity(),
        head.idempotent(),
        head.deadlineMillis(),
        head.receivedNanos(),
        head.method(),
        head.uri(),
        head.headers(),
        body);
  }
}
