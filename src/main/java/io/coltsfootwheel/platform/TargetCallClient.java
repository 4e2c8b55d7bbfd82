package io.coltsfootwheel.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coltsfootwheel.keyspace.TargetCall;
import io.coltsfootwheel.keyspace.TargetCallResult;
import io.coltsfootwheel.keyspace.TargetCallResult.Outcome;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Sends the calls that grant keys to the platform's targets and take them back.
 *
 * <p>A call that takes keys back has a connection of its own: a repeated answer to an earlier call
 * must not be taken as the end of the work on these keys.
 */
final class TargetCallClient implements AutoCloseable {
  private static final int MAX_CONNECTIONS_PER_TARGET = 4;
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);
  private static final int MAX_ANSWER_BYTES = 4 * 1024;

  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_MISDIRECTED = 421;

  private final ConnectionProvider keptConnections =
      ConnectionProvider.builder("targets")
          .maxConnections(MAX_CONNECTIONS_PER_TARGET)
          .maxIdleTime(MAX_IDLE_TIME)
          .evictInBackground(MAX_IDLE_TIME)
          .build();

  private final HttpClient grantClient;
  private final HttpClient releaseClient;

  TargetCallClient(LoopResources loops) {
    this.grantClient = configure(HttpClient.create(keptConnections), loops);
    this.releaseClient =
        configure(HttpClient.create(ConnectionProvider.newConnection()), loops).keepAlive(false);
  }

  /**
   * A connection is reset when it is closed, so that bytes that were not delivered yet are
   * discarded. Nothing is sent twice, because each call is decided on by the leader.
   */
  private static HttpClient configure(HttpClient client, LoopResources loops) {
    return client
        .runOn(loops, false)
        .disableRetry(true)
        .option(ChannelOption.SO_LINGER, 0)
        .option(ChannelOption.TCP_NODELAY, true);
  }

  /**
   * Calls a target.
   *
   * @param call the call
   * @return the result; never an error
   */
  Mono<TargetCallResult> call(TargetCall call) {
    AtomicBoolean sent = new AtomicBoolean();
    boolean isGrant = call instanceof TargetCall.Grant;
    return Mono.defer(() -> exchange(call, isGrant ? grantClient : releaseClient, sent))
        .timeout(Duration.ofNanos(Math.max(1, call.endNanos() - System.nanoTime())))
        .onErrorResume(
            e ->
                Mono.just(
                    TargetCallResult.of(sent.get() ? Outcome.UNKNOWN : Outcome.NOT_DELIVERED)));
  }

  private static Mono<TargetCallResult> exchange(
      TargetCall call, HttpClient client, AtomicBoolean sent) {
    byte[] body = body(call).toString().getBytes(StandardCharsets.UTF_8);
    String path =
        call instanceof TargetCall.Grant ? PlatformNames.GRANT_PATH : PlatformNames.RELEASE_PATH;
    return client
        .headers(
            headers ->
                headers
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(PlatformNames.HEADERS.expectedTarget(), call.target().value()))
        .post()
        .uri("http://" + call.address() + path)
        .send(
            (request, outbound) ->
                call.endNanos() - System.nanoTime() < 0
                    ? Mono.error(new TimeoutException("the call was not sent in time"))
                    : outbound.sendByteArray(
                        Mono.fromSupplier(
                            () -> {
                              sent.set(true);
                              return body;
                            })))
        .response((response, content) -> result(call, response, content))
        .next();
  }

  private static Mono<TargetCallResult> result(
      TargetCall call, HttpClientResponse response, ByteBufFlux content) {
    TargetCallResult result =
        switch (response.status().code()) {
          case STATUS_OK -> new TargetCallResult(Outcome.DONE, handoverToken(call, response));
          case STATUS_CONFLICT -> TargetCallResult.of(Outcome.FENCE_TOO_LOW);
          case STATUS_MISDIRECTED -> TargetCallResult.of(Outcome.NOT_DELIVERED);
          default -> TargetCallResult.of(Outcome.UNKNOWN);
        };
    return CallBody.read(content, MAX_ANSWER_BYTES).thenReturn(result);
  }

  private static String handoverToken(TargetCall call, HttpClientResponse response) {
    return call instanceof TargetCall.Release
        ? response.responseHeaders().get(PlatformNames.HANDOVER_HEADER, "")
        : "";
  }

  private static ObjectNode body(TargetCall call) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("rangeStart", call.range().from());
    // The platform names the last key of the range "targetVersion".
    body.put("targetVersion", call.range().to());
    body.put("fence", call.fence().value());
    if (call instanceof TargetCall.Grant grant) {
      body.put("holdMs", grant.holdMillis());
      if (!grant.handoverToken().isEmpty()) {
        body.put("handover", grant.handoverToken());
      }
    }
    return body;
  }

  @Override
  public void close() {
    keptConnections.disposeLater().block(CLOSE_TIMEOUT);
  }
}
