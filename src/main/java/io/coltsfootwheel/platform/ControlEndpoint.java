package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.coltsfootwheel.eventlog.EventLog;
import io.coltsfootwheel.eventlog.LogEvent;
import io.coltsfootwheel.listener.HttpListenerGuard;
import io.coltsfootwheel.listener.HttpListenerLimits;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.node.ControlAnswer;
import io.coltsfootwheel.node.ControlNode;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server of a control process for the platform's targets and operators. */
final class ControlEndpoint {
  private static final int MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024;
  private static final int MAX_REPORT_BYTES = 256 * 1024;

  /** Longer than the second after which callers turn to another control process. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(2_500);

  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

  private static final String DEFAULT_BASE_VERSION = "0";

  private final Address address;
  private final ControlNode node;
  private final EventLog log;
  private final LoopResources loops;
  private final HttpListenerGuard guard;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger callsInProgress = new AtomicInteger();
  private final AtomicInteger ignoredBodies = new AtomicInteger();
  private Optional<DisposableServer> server = Optional.empty();
  private volatile boolean draining;

  ControlEndpoint(
      Address address,
      ControlNode node,
      EventLog log,
      LoopResources loops,
      HttpListenerLimits limits) {
    this.guard = new HttpListenerGuard(limits);
    this.address = address;
    this.node = node;
    this.log = log;
    this.loops = loops;
  }

  /** Starts to listen; tries once to bind the address. */
  void start() {
    start(ListenerBinder.withoutRetry());
  }

  void start(ListenerBinder binder) {
    HttpServer httpServer =
        guard
            .addTo(HttpServer.create())
            .runOn(loops, false)
            .host(address.host())
            .port(address.port())
            .channelGroup(connections)
            .handle(this::handle);
    server = Optional.of(binder.bind("control address " + address, httpServer::bindNow));
  }

  /**
   * Closes the listener, waits until the calls in progress are answered, and closes all
   * connections. New calls on open connections are refused.
   *
   * @param limitMillis longest time to wait for calls, in milliseconds
   * @return completes when all connections are closed
   */
  Mono<Void> drain(long limitMillis) {
    draining = true;
    server.ifPresent(DisposableServer::dispose);
    return Mono.justOrEmpty(server)
        .flatMap(DisposableServer::onDispose)
        .then(awaitCalls(limitMillis))
        .then(Mono.defer(this::closeConnections));
  }

  /** Returns the number of calls whose head was read and whose response was not written. */
  int callsInProgress() {
    return callsInProgress.get();
  }

  private Mono<Void> awaitCalls(long limitMillis) {
    return Mono.fromSupplier(callsInProgress::get)
        .filter(calls -> calls == 0)
        .repeatWhenEmpty(r -> r.delayElements(DRAIN_CHECK_INTERVAL))
        .timeout(Duration.ofMillis(limitMillis))
        .onErrorComplete(TimeoutException.class)
        .then();
  }

  private Mono<Void> closeConnections() {
    log.write(
        LogEvent.of("stop.calls_drained")
            .with("open_connections", connections.size())
            .with("calls", callsInProgress.get()));
    return Mono.create(sink -> connections.close().addListener(closed -> sink.success()));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    if (draining) {
      log.write(LogEvent.of("call.refused").with("uri", request.uri()));
      return send(response, 503, error("the process is stopping"));
    }
    callsInProgress.incrementAndGet();
    return Mono.from(answer(request, response)).doFinally(end -> callsInProgress.decrementAndGet());
  }

  private Publisher<Void> answer(HttpServerRequest request, HttpServerResponse response) {
    QueryStringDecoder uri = new QueryStringDecoder(request.uri());
    try {
      return uri.path().equals(PlatformNames.CALL_PATH)
          ? call(parameter(uri, "call"), uri, request, response)
          : send(response, 404, error("path not found"));
    } catch (IllegalArgumentException e) {
      log.write(LogEvent.of("call.unreadable").with("error", e.getMessage()));
      return send(response, 400, error("the URI is not valid"));
    }
  }

  private Mono<Void> call(
      String call, QueryStringDecoder uri, HttpServerRequest request, HttpServerResponse response) {
    // A connection whose body was not read to its end cannot be used again.
    response.keepAlive(false);
    return CallBody.read(request.receive(), maxBodyBytes(call))
        .doOnNext(body -> response.keepAlive(true))
        .flatMap(body -> execute(call, uri, request, body))
        .timeout(
            CALL_TIMEOUT,
            Mono.just(
                new ControlAnswer.Unavailable("no decision within the time limit of the call")))
        .onErrorResume(
            ColtsfootwheelException.class,
            e -> Mono.just(new ControlAnswer.Invalid(e.getMessage())))
        .onErrorResume(RuntimeException.class, e -> Mono.just(unexpected(call, e)))
        .flatMap(answer -> respond(call, uri, request, response, answer));
  }

  private Mono<ControlAnswer> execute(
      String call, QueryStringDecoder uri, HttpServerRequest request, byte[] body) {
    String base = request.requestHeaders().get(HttpHeaderNames.IF_MATCH, DEFAULT_BASE_VERSION);
    return switch (call) {
      case PlatformNames.REPORT_CALL -> node.report(ReportJson.parse(parameter(uri, "of"), body));
      case PlatformNames.LEAVE_CALL -> node.leave(LeaveJson.parse(parameter(uri, "of"), body));
      case PlatformNames.PUT_CALL -> node.change(ConfigurationJson.parseComplete(base, body));
      case PlatformNames.PATCH_CALL -> node.change(ConfigurationJson.parsePatch(base, body));
      case PlatformNames.GET_CALL -> node.read();
      case PlatformNames.EVACUATION_START_CALL, PlatformNames.EVACUATION_END_CALL ->
          evacuate(call, parameter(uri, "of"), body);
      default -> Mono.just(new ControlAnswer.Invalid("call " + call + " is unknown"));
    };
  }

  private Mono<ControlAnswer> evacuate(String call, String zone, byte[] body) {
    if (body.length > 0) {
      log.write(
          LogEvent.of("call.body.ignored")
              .with("call", call)
              .with("of", zone)
              .with("bytes", body.length)
              .with("total", ignoredBodies.incrementAndGet()));
    }
    return zone.isEmpty()
        ? Mono.just(new ControlAnswer.Invalid("of: expected the name of a zone, got nothing"))
        : node.setEvacuation(
            AvailabilityZone.of(zone), call.equals(PlatformNames.EVACUATION_START_CALL));
  }

  private static int maxBodyBytes(String call) {
    boolean isConfiguration =
        call.equals(PlatformNames.PUT_CALL) || call.equals(PlatformNames.PATCH_CALL);
    return isConfiguration ? MAX_CONFIGURATION_BYTES : MAX_REPORT_BYTES;
  }

  private ControlAnswer unexpected(String call, RuntimeException error) {
    log.write(LogEvent.of("call.failed").with("call", call).with("error", error));
    return new ControlAnswer.Unavailable("the call failed unexpectedly");
  }

  private Mono<Void> respond(
      String call,
      QueryStringDecoder uri,
      HttpServerRequest request,
      HttpServerResponse response,
      ControlAnswer answer) {
    logAnswer(call, uri, answer);
    if (answer instanceof ControlAnswer.Acknowledged acknowledged) {
      return send(
          response,
          200,
          ReportJson.write(acknowledged.grant(), controlAddress(acknowledged.leader())));
    }
    if (answer instanceof ControlAnswer.Current current) {
      return send(response, 200, ConfigurationJson.write(current.configuration()));
    }
    if (answer instanceof ControlAnswer.Accepted) {
      return send(response, 200, JsonNodeFactory.instance.objectNode());
    }
    if (answer instanceof ControlAnswer.Conflict conflict) {
      return send(response, 412, error("the current version is r" + conflict.currentVersion()));
    }
    if (answer instanceof ControlAnswer.Invalid invalid) {
      return send(response, 400, error(invalid.reason()));
    }
    if (answer instanceof ControlAnswer.Redirect redirect) {
      String location = "http://" + controlAddress(redirect.leader()) + request.uri();
      response.header(HttpHeaderNames.LOCATION, location);
      return send(response, 307, JsonNodeFactory.instance.objectNode());
    }
    return send(response, 503, error(((ControlAnswer.Unavailable) answer).reason()));
  }

  /**
   * Logs every answer except acknowledged reports, which are too frequent and counted elsewhere.
   */
  private void logAnswer(String call, QueryStringDecoder uri, ControlAnswer answer) {
    if (!(answer instanceof ControlAnswer.Acknowledged)) {
      log.write(
          LogEvent.of("call.answered")
              .with("call", call)
              .with("of", parameter(uri, "of"))
              .with("answer", answer instanceof ControlAnswer.Current ? "Current" : answer));
    }
  }

  /** Returns the HTTP address of a member; all control processes listen on the same port. */
  private Address controlAddress(InstanceId member) {
    return new Address(member.value(), address.port());
  }

  private static String parameter(QueryStringDecoder uri, String name) {
    return uri.parameters().getOrDefault(name, List.of("")).get(0);
  }

  private static JsonNode error(String text) {
    return JsonNodeFactory.instance.objectNode().put("error", text);
  }

  private Mono<Void> send(HttpServerResponse response, int status, JsonNode body) {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    if (draining) {
      response.keepAlive(false);
    }
    return response
        .status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length))
        .sendByteArray(Mono.just(bytes))
        .then();
  }
}
