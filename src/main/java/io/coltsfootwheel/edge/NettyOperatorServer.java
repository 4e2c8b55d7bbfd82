package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.buffer.Unpooled;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Operator server based on Reactor Netty. */
final class NettyOperatorServer implements OperatorServer {
  private static final Logger LOGGER = LogManager.getLogger(NettyOperatorServer.class);

  /**
   * Leaves room for both lists, which are uploaded in full; protects the memory from larger
   * uploads.
   */
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private static final String BEARER = "Bearer ";
  private static final String JSON = "application/json";
  private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);

  /** Longer than the 2 s after which a change without an answer of the control group fails. */
  private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(2_500);

  private final String host;
  private final int port;
  private final byte[] token;
  private final List<RouteMatcher> routes;
  private final CallsInProgress callsInProgress = new CallsInProgress();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  private volatile DisposableServer server;
  private volatile boolean closing;

  NettyOperatorServer(String host, int port, String token, List<OperatorRoute> routes) {
    this.host = host;
    this.port = port;
    this.token = token.getBytes(StandardCharsets.UTF_8);
    this.routes = routes.stream().map(RouteMatcher::new).toList();
  }

  @Override
  public Address start() {
    try {
      server =
          HttpServer.create()
              .host(host)
              .port(port)
              .idleTimeout(IDLE_TIMEOUT)
              .doOnChannelInit((observer, channel, remote) -> connections.add(channel))
              .handle(this::handle)
              .bindNow();
    } catch (RuntimeException e) {
      throw ColtsfootwheelException.of(
          ErrorKind.INVALID_SETTINGS,
          "operator address " + host + ":" + port + " cannot be bound",
          e);
    }
    return new Address(host, server.port());
  }

  @Override
  public void close() {
    DisposableServer startedServer = server;
    if (startedServer != null) {
      closing = true;
      startedServer.channel().close().syncUninterruptibly();
      callsInProgress.awaitNone(CLOSE_TIMEOUT);
      connections.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
      startedServer.disposeNow(CLOSE_TIMEOUT);
    }
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return callsInProgress.count(
        Mono.defer(() -> closing ? refuse(request, response) : route(request))
            .onErrorResume(error -> Mono.just(toErrorResponse(response, error)))
            .flatMap(result -> write(response, result)));
  }

  /** Refuses a call on an open connection during the close; it has not been run. */
  private static Mono<OperatorResponse> refuse(
      HttpServerRequest request, HttpServerResponse response) {
    LOGGER.info("call {} is refused: the server is closing", request.uri());
    response.header(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return Mono.error(
        ColtsfootwheelException.of(ErrorKind.SHUTTING_DOWN, "instance is shutting down"));
  }

  /**
   * Unauthenticated clients get the same error for existing and unknown paths, so that they cannot
   * find out which routes exist.
   */
  private Mono<OperatorResponse> route(HttpServerRequest request) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    String method = request.method().name();
    for (RouteMatcher matcher : routes) {
      Optional<Map<String, String>> parameters = matcher.match(method, uri.path());
      if (parameters.isPresent() && (matcher.route().unauthenticated() || isAuthorized(request))) {
        return BodyReader.read(request, MAX_BODY_BYTES)
            .defaultIfEmpty(BodyReader.EMPTY_BODY)
            .map(body -> new OperatorRequest(parameters.get(), uri.parameters(), body))
            .flatMap(matcher.route().handler());
      }
    }
    return Mono.error(
        isAuthorized(request)
            ? ColtsfootwheelException.of(
                ErrorKind.NOT_FOUND, "no endpoint " + method + " " + uri.path())
            : ColtsfootwheelException.of(
                ErrorKind.UNAUTHORIZED, "operator token is missing or wrong"));
  }

  private boolean isAuthorized(HttpServerRequest request) {
    String value = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION);
    return value != null
        && value.regionMatches(true, 0, BEARER, 0, BEARER.length())
        && token.length > 0
        && MessageDigest.isEqual(
            token, value.substring(BEARER.length()).trim().getBytes(StandardCharsets.UTF_8));
  }

  private static OperatorResponse toErrorResponse(HttpServerResponse response, Throwable error) {
    CallerResponse.Error callerError = ResponseWriter.toErrorResponse(response, error);
    return new OperatorResponse(
        callerError.kind().httpStatus(),
        new EdgeJson.ErrorBody(
            callerError.kind().code(),
            callerError.outcome().text(),
            callerError.detail(),
            callerError.kind().remedy()));
  }

  private static Mono<Void> write(HttpServerResponse response, OperatorResponse result) {
    boolean isPlainText = result.content() instanceof String;
    byte[] body =
        isPlainText
            ? ((String) result.content()).getBytes(StandardCharsets.UTF_8)
            : EdgeJson.write(result.content());
    response
        .status(result.status())
        .header(HttpHeaderNames.CONTENT_TYPE, isPlainText ? TEXT : JSON)
        .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
    return response.send(Mono.just(Unpooled.wrappedBuffer(body))).then();
  }
}
