package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.Outcome;
import io.coltsfootwheel.model.RetryAfterHeader;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/** Sends requests to one target and classifies the results. */
final class TargetRequests {
  private static final Logger LOGGER = LogManager.getLogger(TargetRequests.class);
  private static final int STATUS_FENCE_REFUSED = 412;
  private static final int STATUS_LOAD_SHED = 503;

  /** Maximum parts of a refusal's body that are discarded to keep its connection reusable. */
  private static final int MAX_DISCARDED_PARTS = 16;

  private static final Set<HttpMethod> METHODS_WITHOUT_LENGTH =
      Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS);

  private final HttpClient client;
  private final Set<Attempt> attemptsInFlight = ConcurrentHashMap.newKeySet();

  private volatile boolean closed;

  /** Disposes the pool of a retired target; called at most once. */
  private final AtomicReference<Runnable> onRetired = new AtomicReference<>();

  TargetRequests(HttpClient client) {
    this.client = client;
  }

  /** Aborts requests in flight; disposing the connection pool would not end them. */
  void close() {
    closed = true;
    attemptsInFlight.forEach(Attempt::abort);
  }

  /**
   * Sends no further requests, and lets those in flight end.
   *
   * @param whenIdle called once, when no request is in flight
   */
  void retire(Runnable whenIdle) {
    closed = true;
    onRetired.set(whenIdle);
    endIfIdle();
  }

  private void endIfIdle() {
    if (attemptsInFlight.isEmpty()) {
      Optional.ofNullable(onRetired.getAndSet(null)).ifPresent(Runnable::run);
    }
  }

  Mono<TargetResult> send(TargetRequest request) {
    // An error before the subscription to the client, such as an invalid method, occurs before any
    // byte is written.
    return Mono.defer(() -> sendOnce(request))
        .onErrorResume(error -> Mono.just(new TargetResult.NotSent(error.toString())));
  }

  private Mono<TargetResult> sendOnce(TargetRequest request) {
    if (closed) {
      return Mono.just(new TargetResult.NotSent("pool is closed"));
    }
    Attempt attempt = new Attempt();
    HttpMethod method = HttpMethod.valueOf(request.method());
    return client
        .request(method)
        .uri(request.uri())
        .send(
            (head, out) -> {
              out.withConnection(connection -> attempt.onConnectionAcquired(connection));
              return write(head, out, method, request);
            })
        .responseConnection(
            (response, connection) ->
                classifyResponse(request.requestId(), response, connection, attempt))
        .next()
        .onErrorResume(error -> Mono.just(attempt.classifyError(error)))
        .doOnCancel(attempt::cancel);
  }

  private static NettyOutbound write(
      HttpClientRequest head, NettyOutbound out, HttpMethod method, TargetRequest request) {
    HttpHeaders headers = head.requestHeaders();
    for (Header header : request.headers()) {
      headers.add(header.name(), header.value());
    }
    headers.set(HeaderNames.FENCE, Long.toString(request.fence()));
    if (request.hashSlot() >= 0) {
      headers.set(HeaderNames.HASH_SLOT, Integer.toString(request.hashSlot()));
    }
    headers.set(HeaderNames.DEADLINE_MILLIS, Long.toString(request.deadlineMillis()));
    headers.set(HeaderNames.REQUEST_ID, request.requestId());
    if (request.identity().isPresent()) {
      headers.set(HeaderNames.IDENTITY, request.identity().get());
    }
    byte[] body = request.body();
    if (body.length == 0 && METHODS_WITHOUT_LENGTH.contains(method)) {
      return out;
    }
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return body.length == 0 ? out : out.send(Mono.just(Unpooled.wrappedBuffer(body)));
  }

  private Mono<TargetResult> classifyResponse(
      String requestId, HttpClientResponse response, Connection connection, Attempt attempt) {
    int status = response.status().code();
    if (response.status().codeClass() == HttpStatusClass.UNKNOWN) {
      return brokenBy("invalid status " + status, requestId, attempt);
    }
    HttpHeaders headers = response.responseHeaders();
    boolean isRefusal =
        (status == STATUS_FENCE_REFUSED || status == STATUS_LOAD_SHED) && isNotRun(headers);
    Optional<String> responseRequestId = Optional.ofNullable(headers.get(HeaderNames.REQUEST_ID));
    if (!responseRequestId.map(requestId::equals).orElse(!isRefusal)) {
      return brokenBy(
          "response %d is for request %s".formatted(status, responseRequestId.orElse("unknown")),
          requestId,
          attempt);
    }
    if (isRefusal) {
      TargetResult refusal =
          status == STATUS_FENCE_REFUSED
              ? new TargetResult.RefusedFence()
              : new TargetResult.RefusedShedding(retryAfterMillis(headers));
      return discardBody(connection, attempt).thenReturn(refusal);
    }
    return Mono.just(
        new TargetResult.Responded(
            status, HeaderNames.endToEndResponse(headers), responseBody(connection, attempt)));
  }

  /** Ends the connection, because nothing that follows such a response can be trusted. */
  private static Mono<TargetResult> brokenBy(String cause, String requestId, Attempt attempt) {
    LOGGER.warn("outcome of request {} is unknown: {}", requestId, cause);
    attempt.closeConnection();
    return Mono.just(new TargetResult.Broken(cause));
  }

  /**
   * Discards the body of a refusal. The head determines the result, so errors in the body are
   * ignored.
   */
  private static Mono<Void> discardBody(Connection connection, Attempt attempt) {
    return connection
        .inbound()
        .receive()
        .take(MAX_DISCARDED_PARTS)
        .then()
        .onErrorResume(error -> Mono.empty())
        .doFinally(signal -> attempt.finish());
  }

  private static Flux<ByteBuf> responseBody(Connection connection, Attempt attempt) {
    return connection
        .inbound()
        .receive()
        .retain()
        .doOnSubscribe(subscription -> attempt.bodySubscribed = true)
        .doFinally(signal -> attempt.finish());
  }

  private static boolean isNotRun(HttpHeaders headers) {
    return Outcome.NOT_RUN.text().equals(headers.get(HeaderNames.OUTCOME));
  }

  private static long retryAfterMillis(HttpHeaders headers) {
    String value = headers.get(HeaderNames.RETRY_AFTER);
    if (value == null) {
      return 0;
    }
    OptionalLong millis = RetryAfterHeader.millis(value);
    if (millis.isEmpty()) {
      LOGGER.warn("a target refuses with an invalid Retry-After, which counts as none");
    }
    return millis.orElse(0);
  }

  /**
   * One attempt to send a request; tracks its connection and thereby whether bytes may have been
   * written.
   */
  private final class Attempt {
    private volatile Channel channel;
    private volatile Connection connection;
    private volatile boolean bodySubscribed;

    /** Called before the first byte is written. */
    private void onConnectionAcquired(Connection usedConnection) {
      channel = usedConnection.channel();
      connection = usedConnection;
      attemptsInFlight.add(this);
      if (closed) {
        abort();
      }
    }

    private TargetResult classifyError(Throwable error) {
      finish();
      return connection == null
          ? new TargetResult.NotSent(error.toString())
          : new TargetResult.Broken(error.toString());
    }

    /** Closes the connection of a response whose body will not be read. */
    private void cancel() {
      if (connection != null && !bodySubscribed) {
        finish();
        abort();
      }
    }

    /**
     * Closes the channel, unless it was released to the pool and may already serve another request.
     */
    private void abort() {
      Connection usedConnection = connection;
      Channel usedChannel = channel;
      usedChannel
          .eventLoop()
          .execute(
              () -> {
                if (Connection.from(usedChannel) == usedConnection) {
                  usedChannel.close();
                }
              });
    }

    /**
     * Closes the connection after a response to another request; called while the connection is in
     * use.
     */
    private void closeConnection() {
      finish();
      connection.markPersistent(false);
      channel.close();
    }

    private void finish() {
      attemptsInFlight.remove(this);
      endIfIdle();
    }
  }
}
