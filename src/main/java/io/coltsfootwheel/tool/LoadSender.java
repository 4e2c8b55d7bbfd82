package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.Outcome;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Sends the requests of a load run, and resends those that were not run as the plan allows. */
final class LoadSender {
  static final String LOAD_REQUEST = "Load-Request";

  private static final String KEY = "Coltsfootwheel-Key";
  private static final String CUSTOMER = "Coltsfootwheel-Customer";
  private static final String DEADLINE = "Coltsfootwheel-Deadline-Millis";
  private static final String STAMP = "Coltsfootwheel-Stamp";
  private static final String TARGET = "Coltsfootwheel-Target";
  private static final String OUTCOME = "Coltsfootwheel-Outcome";
  private static final String IDENTITY = "Idempotency-Key";

  /**
   * How long the driver still waits for a response after the deadline, as the router reports a
   * missed deadline itself.
   */
  private static final Duration TIMEOUT_AFTER_DEADLINE = Duration.ofSeconds(2);

  private static final Duration RESEND_DELAY = Duration.ofMillis(50);
  private static final int MAX_CONNECTIONS_PER_ENTRY = 256;

  /**
   * Response to one send of a request.
   *
   * @param status HTTP status, 0 without a response
   * @param target target named in the response, empty if none is
   * @param outcome outcome reported by the router, empty for the response of a target
   * @param code error code in the router's response, or the class of the failure; empty for a
   *     target's response
   */
  record Response(int status, String target, Optional<Outcome> outcome, String code) {
    boolean isNotRun() {
      return outcome.filter(Outcome::isRetrySafe).isPresent();
    }

    LoadResult result(long latencyMicros, long inTimeMicros) {
      return outcome
          .map(LoadResult::ofRouterOutcome)
          .orElseGet(() -> LoadResult.ofTargetResponse(latencyMicros, inTimeMicros));
    }
  }

  /**
   * Result of a request after all its sends.
   *
   * @param response response to the last send
   * @param sends number of times that the request was sent
   */
  record SendResult(Response response, int sends) {}

  private final LoadPlan plan;
  private final AtomicReference<String> stamp = new AtomicReference<>("");
  private final HttpClient http;

  LoadSender(LoadPlan plan) {
    this.plan = plan;
    ConnectionProvider connections =
        ConnectionProvider.builder("load")
            .maxConnections(MAX_CONNECTIONS_PER_ENTRY)
            .pendingAcquireMaxCount(-1)
            .build();
    // By default the client resends a request when its connection breaks.
    this.http = HttpClient.create(connections).disableRetry(true);
  }

  /** Returns the stamp of the last response that carried one, or an empty text. */
  String stamp() {
    return stamp.get();
  }

  /**
   * Sends a request, and resends it until its deadline while it was not run and the plan allows.
   */
  Mono<SendResult> send(LoadRequest request) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.deadlineMillis());
    return send(request, 1, deadlineNanos);
  }

  /**
   * Sends a request with the time that remains until its deadline, so that a resend has less time
   * by the delay before it.
   */
  private Mono<SendResult> send(LoadRequest request, int sends, long deadlineNanos) {
    Address entry = plan.entry(request.number() + sends - 1);
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    return sendOnce(request, entry, Math.max(1, remainingMillis))
        .flatMap(
            response -> {
              boolean inTime = System.nanoTime() - deadlineNanos < 0;
              if (response.isNotRun() && inTime && sends <= plan.resendsOnNotRun()) {
                return Mono.delay(RESEND_DELAY)
                    .then(Mono.defer(() -> send(request, sends + 1, deadlineNanos)));
              }
              return Mono.just(new SendResult(response, sends));
            });
  }

  private Mono<Response> sendOnce(LoadRequest request, Address entry, long remainingMillis) {
    HttpMethod method = request.isIdempotent() ? HttpMethod.GET : HttpMethod.POST;
    Mono<String> body = request.isIdempotent() ? Mono.empty() : Mono.just(request.id());
    return http.headers(headers -> setHeaders(headers, request, remainingMillis))
        .request(method)
        .uri("http://" + entry + "/s/" + request.service() + "/load")
        .send(ByteBufFlux.fromString(body))
        .responseSingle(
            (responseHead, responseBody) ->
                responseBody
                    .asString()
                    .defaultIfEmpty("")
                    .map(text -> parseResponse(responseHead, text)))
        .timeout(Duration.ofMillis(remainingMillis).plus(TIMEOUT_AFTER_DEADLINE))
        .onErrorResume(failure -> Mono.just(responseOfFailure(failure)));
  }

  private void setHeaders(HttpHeaders headers, LoadRequest request, long remainingMillis) {
    headers.set(LOAD_REQUEST, request.id()).set(DEADLINE, remainingMillis);
    Map.of(KEY, request.key(), IDENTITY, request.identity(), CUSTOMER, plan.customer())
        .forEach(
            (name, value) -> {
              if (!value.isEmpty()) {
                headers.set(name, value);
              }
            });
  }

  private Response parseResponse(HttpClientResponse responseHead, String body) {
    HttpHeaders headers = responseHead.responseHeaders();
    Optional.ofNullable(headers.get(STAMP)).ifPresent(stamp::set);
    String target = headers.get(TARGET, "");
    Optional<Outcome> declaredOutcome = Outcome.parse(headers.get(OUTCOME, ""));
    // Without a target and an outcome, the request may or may not have run.
    Optional<Outcome> outcome =
        declaredOutcome.isEmpty() && target.isEmpty()
            ? Optional.of(Outcome.UNKNOWN)
            : declaredOutcome;
    return new Response(
        responseHead.status().code(),
        target,
        outcome,
        outcome.map(known -> errorCode(body)).orElse(""));
  }

  private static String errorCode(String body) {
    try {
      return ToolJson.read(body, ErrorReply.class, "error").code();
    } catch (ToolException e) {
      return "unreadable";
    }
  }

  private static Response responseOfFailure(Throwable failure) {
    // The request was not sent if the connection was refused.
    Outcome outcome = failure instanceof ConnectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    return new Response(0, "", Optional.of(outcome), failure.getClass().getSimpleName());
  }
}
