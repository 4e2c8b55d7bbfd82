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

/** Sends requests of a load run and resends those that were not run when the plan asks for it. */
final class LoadSender {
  static final String LOAD_REQUEST = "Load-Request";

  private static final String KEY = "Coltsfootwheel-Key";
  private static final String CUSTOMER = "Coltsfootwheel-Customer";
  private static final String DEADLINE = "Coltsfootwheel-Deadline-Millis";
  private static final String STAMP = "Coltsfootwheel-Stamp";
  private static final String TARGET = "Coltsfootwheel-Target";
  private static final String OUTCOME = "Coltsfootwheel-Outcome";
  private static final String IDENTITY = "Idempotency-Key";

  /** The router reports a missed deadline itself; the driver gives up only after that. */
  private static final Duration GRACE = Duration.ofSeconds(2);

  private static final Duration RESEND_DELAY = Duration.ofMillis(50);
  private static final int MAX_CONNECTIONS_PER_ENTRY = 256;

  /**
   * Response of one send.
   *
   * @param status HTTP status, 0 for none
   * @param target target that responded, empty for none
   * @param outcome the router's own statement, empty for a target's response
   * @param code error code in the router's response, empty for none
   */
  record Answer(int status, String target, Optional<Outcome> outcome, String code) {
    boolean isNotRun() {
      return outcome.filter(Outcome::isRetrySafe).isPresent();
    }

    LoadResult result(long latencyMicros, long inTimeMicros) {
      return outcome
          .map(LoadResult::ofOutcome)
          .orElseGet(() -> LoadResult.ofAnswer(latencyMicros, inTimeMicros));
    }
  }

  /**
   * Last response to a request.
   *
   * @param answer the response
   * @param sends how often the request was sent
   */
  record Sent(Answer answer, int sends) {}

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
    // Without this the client sends a request twice when a connection breaks.
    this.http = HttpClient.create(connections).disableRetry(true);
  }

  /** Returns the last stamp that a response carried, empty when none was seen. */
  String stamp() {
    return stamp.get();
  }

  /** Sends a request, and again until its deadline while it was not run and the plan allows it. */
  Mono<Sent> send(LoadRequest request) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.deadlineMillis());
    return send(request, 1, deadlineNanos);
  }

  /** The time left is taken when the send begins, so the delay before a resend counts. */
  private Mono<Sent> send(LoadRequest request, int sends, long deadlineNanos) {
    Address entry = plan.entry(request.number() + sends - 1);
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    return sendOnce(request, entry, Math.max(1, leftMillis))
        .flatMap(
            answer -> {
              boolean inTime = System.nanoTime() - deadlineNanos < 0;
              if (answer.isNotRun() && inTime && sends <= plan.resendsOnNotRun()) {
                return Mono.delay(RESEND_DELAY)
                    .then(Mono.defer(() -> send(request, sends + 1, deadlineNanos)));
              }
              return Mono.just(new Sent(answer, sends));
            });
  }

  private Mono<Answer> sendOnce(LoadRequest request, Address entry, long leftMillis) {
    HttpMethod method = request.isIdempotent() ? HttpMethod.GET : HttpMethod.POST;
    Mono<String> body = request.isIdempotent() ? Mono.empty() : Mono.just(request.id());
    return http.headers(headers -> setHeaders(headers, request, leftMillis))
        .request(method)
        .uri("http://" + entry + "/s/" + request.service() + "/load")
        .send(ByteBufFlux.fromString(body))
        .responseSingle(
            (head, bytes) -> bytes.asString().defaultIfEmpty("").map(text -> answer(head, text)))
        .timeout(Duration.ofMillis(leftMillis).plus(GRACE))
        .onErrorResume(failure -> Mono.just(failed(failure)));
  }

  private void setHeaders(HttpHeaders headers, LoadRequest request, long leftMillis) {
    headers.set(LOAD_REQUEST, request.id()).set(DEADLINE, leftMillis);
    Map.of(KEY, request.key(), IDENTITY, request.identity(), CUSTOMER, plan.customer())
        .forEach(
            (name, value) -> {
              if (!value.isEmpty()) {
                headers.set(name, value);
              }
            });
  }

  private Answer answer(HttpClientResponse head, String body) {
    HttpHeaders headers = head.responseHeaders();
    Optional.ofNullable(headers.get(STAMP)).ifPresent(stamp::set);
    String target = headers.get(TARGET, "");
    Optional<Outcome> stated = Outcome.parse(headers.get(OUTCOME, ""));
    // A response that names neither a target nor an outcome proves nothing.
    Optional<Outcome> outcome =
        stated.isEmpty() && target.isEmpty() ? Optional.of(Outcome.UNKNOWN) : stated;
    return new Answer(
        head.status().code(), target, outcome, outcome.map(o -> code(body)).orElse(""));
  }

  private static String code(String body) {
    try {
      return ToolJson.read(body, ErrorReply.class, "error").code();
    } catch (ToolException e) {
      return "unreadable";
    }
  }

  private static Answer failed(Throwable failure) {
    // A refused connection carried no byte of the request.
    Outcome outcome = failure instanceof ConnectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    return new Answer(0, "", Optional.of(outcome), failure.getClass().getSimpleName());
  }
}
