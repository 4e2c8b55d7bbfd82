package io.coltsfootwheel.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Hosts many targets in one process. Each sends a fixed response immediately, so that a measurement
 * covers the proxy only.
 *
 * <p>Usage: {@code java ... io.coltsfootwheel.bench.FixedResponseTargets SERVICE SLOTS FIRST_PORT
 * COUNT INSTANCE...}. Requests without a fence are also executed, because measurements without a
 * daemon send none.
 */
public final class FixedResponseTargets {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration ANNOUNCE_INTERVAL = Duration.ofSeconds(5);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(500);
  private static final int CONNECTIONS_PER_SLOT = 4;
  private static final byte[] RESPONSE_BODY = "{\"balance\":120}".getBytes();

  private final TargetSpec spec;
  private final FenceChecker fenceChecker = new FenceChecker(System::nanoTime);

  private FixedResponseTargets(TargetSpec spec) {
    this.spec = spec;
  }

  /**
   * Runs the targets until the process ends.
   *
   * @param arguments service, slots per target, first port, number of targets, HTTP addresses of
   *     instances
   */
  public static void main(String[] arguments) {
    int slots = Integer.parseInt(arguments[1]);
    int firstPort = Integer.parseInt(arguments[2]);
    int count = Integer.parseInt(arguments[3]);
    List<String> instanceAddresses = List.of(arguments).subList(4, arguments.length);
    DisposableServer server = null;
    for (int i = 0; i < count; i++) {
      TargetSpec spec =
          new TargetSpec(
              TargetId.of(arguments[0] + "-" + i),
              ServiceName.of(arguments[0]),
              new Address("127.0.0.1", firstPort + i),
              AvailabilityZone.of("zone-" + i % 3),
              slots,
              slots * CONNECTIONS_PER_SLOT,
              true,
              false,
              Long.toString(System.nanoTime()));
      server =
          new FixedResponseTargets(spec).start(instanceAddresses.get(i % instanceAddresses.size()));
    }
    server.onDispose().block();
  }

  private DisposableServer start(String instanceAddress) {
    DisposableServer server =
        HttpServer.create()
            .host(spec.address().host())
            .port(spec.address().port())
            .handle(this::serve)
            .bindNow();
    Mono.defer(() -> announce(instanceAddress))
        .flatMap(announced -> Mono.delay(announced ? ANNOUNCE_INTERVAL : RETRY_INTERVAL))
        .repeat()
        .subscribe();
    return server;
  }

  private Mono<Boolean> announce(String instanceAddress) {
    return HttpClient.create()
        .headers(headers -> headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json"))
        .post()
        .uri("http://" + instanceAddress + "/v1/targets")
        .send(ByteBufFlux.fromString(Mono.just(toJson(spec))))
        .response()
        .map(response -> response.status().code() < 300)
        .onErrorReturn(false);
  }

  private Publisher<Void> serve(HttpServerRequest request, HttpServerResponse response) {
    if (request.uri().equals("/coltsfootwheel/grant")) {
      return request.receive().aggregate().asByteArray().flatMap(body -> grant(body, response));
    }
    String fenceHeader = request.requestHeaders().get("Coltsfootwheel-Fence");
    if (fenceHeader != null) {
      long fence = Long.parseLong(fenceHeader);
      if (!fenceChecker.begin(fence, true)) {
        return response
            .status(412)
            .header("Coltsfootwheel-Outcome", "not-run")
            .header(
                "Coltsfootwheel-Request-Id",
                request.requestHeaders().get("Coltsfootwheel-Request-Id", ""))
            .send();
      }
      fenceChecker.end(fence);
    }
    return sendJson(response, RESPONSE_BODY);
  }

  private Mono<Void> grant(byte[] body, HttpServerResponse response) {
    try {
      JsonNode grant = MAPPER.readTree(body);
      boolean accepted =
          fenceChecker.grant(grant.path("fence").asLong(), grant.path("validUntilMillis").asLong());
      return accepted
          ? sendJson(response, MAPPER.writeValueAsBytes(fenceChecker.response()))
          : response.status(409).send().then();
    } catch (IOException e) {
      return response.status(400).send().then();
    }
  }

  private static Mono<Void> sendJson(HttpServerResponse response, byte[] body) {
    return response
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
        .sendObject(Unpooled.wrappedBuffer(body))
        .then();
  }

  private static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
