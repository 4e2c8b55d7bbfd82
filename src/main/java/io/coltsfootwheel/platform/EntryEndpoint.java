package io.coltsfootwheel.platform;

import io.coltsfootwheel.api.RoutePreview;
import io.coltsfootwheel.listener.HttpListenerGuard;
import io.coltsfootwheel.listener.HttpListenerLimits;
import io.coltsfootwheel.listener.ListenerBinder;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.relay.Relay;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server of an entry for the platform and operators: readiness and route previews. */
final class EntryEndpoint {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;

  private final Address address;
  private final Relay relay;
  private final LoopResources loops;
  private final HttpListenerGuard guard;

  EntryEndpoint(Address address, Relay relay, LoopResources loops, HttpListenerLimits limits) {
    this.guard = new HttpListenerGuard(limits);
    this.address = address;
    this.relay = relay;
    this.loops = loops;
  }

  /** Binds the address and answers requests. */
  DisposableServer start(ListenerBinder binder) {
    HttpServer server =
        guard
            .addTo(HttpServer.create())
            .runOn(loops, false)
            .host(address.host())
            .port(address.port())
            .route(
                routes ->
                    routes
                        .get(PlatformNames.READINESS_PATH, this::answerReadiness)
                        .get(RoutePreview.PATH, this::answerPreview));
    return binder.bind("readiness address " + address, server::bindNow);
  }

  private Publisher<Void> answerReadiness(HttpServerRequest request, HttpServerResponse response) {
    return response.status(relay.isReady() ? OK : UNAVAILABLE).send();
  }

  private Publisher<Void> answerPreview(HttpServerRequest request, HttpServerResponse response) {
    QueryStringDecoder query = new QueryStringDecoder(request.uri());
    String host = parameter(query, RoutePreview.HOST_PARAMETER);
    String path = parameter(query, RoutePreview.PATH_PARAMETER);
    if (host.isEmpty() || path.isEmpty()) {
      return response.status(BAD_REQUEST).sendString(Mono.just("host and path are needed"));
    }
    String key = parameter(query, RoutePreview.KEY_PARAMETER);
    Mono<String> body = relay.preview(host, path, key).map(JsonFields::write);
    return response.header(HttpHeaderNames.CONTENT_TYPE, "application/json").sendString(body);
  }

  private static String parameter(QueryStringDecoder query, String name) {
    return query.parameters().getOrDefault(name, List.of("")).get(0);
  }
}
