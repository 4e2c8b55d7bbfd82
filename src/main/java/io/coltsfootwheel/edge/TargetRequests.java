package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;

/** Sends requests to one target and classifies their results. */
final class TargetRequests {
  private static final int FENCE_STATUS = 412;
  private static final int SHEDDING_STATUS = 503;
  private static final long MILLIS_PER_SECOND = 1000;

  /** Parts of a refusal's body that are read to keep its connection. */
  private static final int MAX_REFUSAL_PARTS = 16;

  private static final Set<HttpMethod> WITHOUT_LENGTH =
      Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.DELETE, HttpMethod.OPTIONS);

  private final HttpClient client;
  private final Set<Attempt> busy = ConcurrentHashMap.newKeySet();

  private volatile boolean closed;

  TargetRequests(HttpClient client) {
    this.client = client;
  }

  /** Ends requests in flight; disposing the pool alone would leave them running. */
  void close() {
    closed = true;
    busy.forEach(Attempt::abort);
  }

  Mono<TargetResult> send(TargetRequest request) {
    // What fails before the client is subscribed to, such as an invalid method, wrote no byte.
    return Mono.defer(() -> attempt(request))
        .onErrorResume(error -> Mono.just(new TargetResult.NotSent(error.toString())));
  }

  private Mono<TargetResult> attempt(TargetRequest request) {
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
              out.withConnection(connection -> attempt.start(connection));
              return write(head, out, method, request);
            })
        .responseConnection((response, connection) -> result(response, connection, attempt))
        .next()
        .onErrorResume(error -> Mono.just(attempt.failure(error)))
        .doOnCancel(attempt::abandon);
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
    if (body.length == 0 && WITHOUT_LENGTH.contains(method)) {
      return out;
    }
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return body.length == 0 ? out : out.send(Mono.just(Unpooled.wrappedBuffer(body)));
  }

  private Mono<TargetResult> result(
      HttpClientResponse response, Connection connection, Attempt attempt) {
    int status = response.status().code();
    HttpHeaders headers = response.responseHeaders();
    if ((status == FENCE_STATUS || status == SHEDDING_STATUS) && isNotRun(headers)) {
      TargetResult refusal =
          status == FENCE_STATUS
              ? new TargetResult.RefusedFence()
              : new TargetResult.RefusedShedding(retryAfterMillis(headers));
      return drain(connection, attempt).thenReturn(refusal);
    }
    return Mono.just(
        new TargetResult.Responded(
            status, HeaderNames.endToEndResponse(headers), body(connection, attempt)));
  }

  /** The refusal is known from the head, so a fault in its body does not change the result. */
  private static Mono<Void> drain(Connection connection, Attempt attempt) {
    return connection
        .inbound()
        .receive()
        .take(MAX_REFUSAL_PARTS)
        .then()
        .onErrorResume(error -> Mono.empty())
        .doFinally(signal -> attempt.finish());
  }

  private static Flux<ByteBuf> body(Connection connection, Attempt attempt) {
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
    try {
      return value == null ? 0 : Math.max(0, Long.parseLong(value.trim()) * MILLIS_PER_SECOND);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** One send; knows whether bytes may have been written and which connection it uses. */
  private final class Attempt {
    private volatile Channel channel;
    private volatile Connection connection;
    private volatile boolean bodySubscribed;

    /** Runs before the first byte is written. */
    private void start(Connection used) {
      channel = used.channel();
      connection = used;
      busy.add(this);
      if (closed) {
        abort();
      }
    }

    private TargetResult failure(Throwable error) {
      finish();
      return connection == null
          ? new TargetResult.NotSent(error.toString())
          : new TargetResult.Broken(error.toString());
    }

    /** Frees the connection of a response that nobody will read. */
    private void abandon() {
      if (connection != null && !bodySubscribed) {
        finish();
        abort();
      }
    }

    /** Closes the channel unless it was released and may already serve another request. */
    private void abort() {
      Connection used = connection;
      Channel open = channel;
      open.eventLoop()
          .execute(
              () -> {
                if (Connection.from(open) == used) {
                  open.close();
                }
              });
    }

    private void finish() {
      busy.remove(this);
    }
  }
}
