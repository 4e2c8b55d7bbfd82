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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Caller server based on Reactor Netty. */
final class NettyCallerServer implements CallerServer {
  /** Allowance for the method, the version and the separators of a request line. */
  private static final int REQUEST_LINE_EXTRA_BYTES = 32;

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Longer than the 2 s after which a change without an answer of the control group fails. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(2_500);

  /**
   * Time for callers to send another request on their idle connections, whose response closes the
   * connection. A request that arrives while the server closes the connection would be reset, and
   * its outcome would be unknown to the caller.
   */
  private static final long DRAIN_TIMEOUT_MILLIS = 1_000;

  private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;
  private static final Logger LOGGER = LogManager.getLogger(CallerServer.class);

  private final CallerServerSettings settings;
  private final RequestHandler handler;
  private final ResponseWriter writer;
  private final AnnouncementEndpoint announcementEndpoint;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final CallsInProgress announcementsInProgress = new CallsInProgress();
  private final AtomicLong lastRequestId = new AtomicLong();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  private volatile boolean refusingNew;
  private volatile DisposableServer server;

  NettyCallerServer(
      CallerServerSettings settings,
      RequestHandler handler,
      TargetAnnouncements announcements,
      Supplier<String> stampSupplier) {
    this.settings = settings;
    this.handler = handler;
    this.writer = new ResponseWriter(stampSupplier);
    this.announcementEndpoint = new AnnouncementEndpoint(announcements, writer);
  }

  @Override
  public Address start() {
    try {
      server =
          HttpServer.create()
              .host(settings.host())
              .port(settings.port())
              .idleTimeout(Duration.ofMillis(settings.idleTimeoutMillis()))
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
  public void refuseNewRequests(boolean refuse) {
    refusingNew = refuse;
    writer.closeAfterResponses(refuse);
  }

  @Override
  public int inFlight() {
    return inFlight.get();
  }

  @Override
  public void close() {
    DisposableServer startedServer = server;
    if (startedServer != null) {
      startedServer.channel().close().syncUninterruptibly();
      awaitConnectionsClosed();
      announcementsInProgress.awaitNone(CLOSE_TIMEOUT);
      if (!connections.isEmpty()) {
        LOGGER.info(
            "closing {} connections, {} requests in flight", connections.size(), inFlight.get());
      }
      connections.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
      startedServer.disposeNow(CLOSE_TIMEOUT);
    }
  }

  private void awaitConnectionsClosed() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_TIMEOUT_MILLIS);
    while (refusingNew && !connections.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_INTERVAL_MILLIS));
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
    if (uri.startsWith(CallerRequestParser.PATH_PREFIX)) {
      return handleCallerRequest(request, response);
    }
    if (uri.startsWith(AnnouncementEndpoint.PATH_PREFIX)) {
      return announcementsInProgress.count(announcementEndpoint.handle(request, response));
    }
    return writer.writeFailure(
        response, ColtsfootwheelException.of(ErrorKind.NOT_FOUND, "no endpoint " + uri));
  }

  private Mono<Void> handleCallerRequest(HttpServerRequest request, HttpServerResponse response) {
    // Counted before the check: a shutdown refuses new requests first and then reads the count.
    int requestsInFlight = inFlight.incrementAndGet();
    if (refusingNew) {
      inFlight.decrementAndGet();
      return refuseWhileShuttingDown(request, response);
    }
    if (requestsInFlight > settings.maxRequests()) {
      inFlight.decrementAndGet();
      return writer.writeError(
          response,
          errorResponse(ErrorKind.OVERLOADED, "too many requests in flight at this instance"));
    }
    CallerExchange exchange = new CallerExchange(handler);
    request.withConnection(
        connection ->
            connection
                .channel()
                .pipeline()
                .get(CallerChannelHandler.class)
                .setCurrentExchange(exchange));
    return readAndHandle(request, response, exchange)
        .doOnCancel(exchange::callerDisconnected)
        // Errors of the handler were converted to responses, so this error is a failed write.
        .doOnError(error -> exchange.callerDisconnected())
        .doFinally(
            signal -> {
              exchange.finish();
              inFlight.decrementAndGet();
            });
  }

  /**
   * Reads the body first, because closing a connection with unread bytes resets it, and the caller
   * may not receive the response.
   */
  private Mono<Void> refuseWhileShuttingDown(
      HttpServerRequest request, HttpServerResponse response) {
    CallerResponse.Error errorResponse =
        errorResponse(ErrorKind.SHUTTING_DOWN, "instance is shutting down");
    Mono<Void> bodyRead =
        BodyReader.hasBody(request.requestHeaders())
            ? BodyReader.read(request, settings.maxBodyBytes()).then().onErrorComplete()
            : Mono.empty();
    return bodyRead.then(Mono.defer(() -> writer.writeError(response, errorResponse)));
  }

  private Mono<Void> readAndHandle(
      HttpServerRequest request, HttpServerResponse response, CallerExchange exchange) {
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
      return writer.writeFailure(response, e);
    }
    Mono<CallerResponse> result =
        body == null
            ? handleRequest(exchange, head)
            : body.map(bytes -> withBody(head, bytes))
                .flatMap(complete -> handleRequest(exchange, complete));
    return result
        .onErrorResume(error -> Mono.just(ResponseWriter.toErrorResponse(response, error)))
        .flatMap(callerResponse -> writer.write(request, response, callerResponse, exchange));
  }

  private Mono<CallerResponse> handleRequest(CallerExchange exchange, CallerRequest request) {
    return exchange.startHandling(request) ? handler.handle(request) : Mono.empty();
  }

  private static CallerResponse.Error errorResponse(ErrorKind kind, String detail) {
    return new CallerResponse.Error(kind, kind.outcome(), detail, RETRY_AFTER_MILLIS);
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
