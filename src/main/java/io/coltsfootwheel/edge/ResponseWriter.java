package io.coltsfootwheel.edge;

import io.coltsfootwheel.link.Header;
import io.coltsfootwheel.model.ColtsfootwheelException;
import io.coltsfootwheel.model.ErrorKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Writes responses to callers. */
final class ResponseWriter {
  /** Bodies up to this size are written together with the head to save a system call. */
  private static final int SMALL_BODY_BYTES = 16 * 1024;

  private static final Logger LOGGER = LogManager.getLogger(CallerServer.class);
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long MILLIS_PER_SECOND = 1000;

  private final Supplier<String> stampSupplier;
  private volatile boolean closingConnections;

  ResponseWriter(Supplier<String> stampSupplier) {
    this.stampSupplier = stampSupplier;
  }

  /**
   * Sets whether each response closes its connection, so that callers connect to other instances.
   */
  void closeAfterResponses(boolean close) {
    closingConnections = close;
  }

  Mono<Void> write(
      HttpServerRequest request,
      HttpServerResponse response,
      CallerResponse result,
      CallerExchange exchange) {
    return result instanceof CallerResponse.Relayed
        ? writeRelayed(request, response, (CallerResponse.Relayed) result, exchange)
        : writeError(response, (CallerResponse.Error) result);
  }

  Mono<Void> writeFailure(HttpServerResponse response, Throwable cause) {
    return writeError(response, toErrorResponse(response, cause));
  }

  /** Converts an exception to an error response; unexpected exceptions are logged. */
  static CallerResponse.Error toErrorResponse(HttpServerResponse response, Throwable cause) {
    if (!(cause instanceof ColtsfootwheelException)) {
      // A disconnect while the request is read is counted as a lost request and not logged.
      if (!(cause instanceof AbortedException)) {
        LOGGER.error("request failed after an unexpected error", cause);
      }
      ErrorKind kind = ErrorKind.INVARIANT_VIOLATED;
      return new CallerResponse.Error(kind, kind.outcome(), "unexpected error", 0);
    }
    ColtsfootwheelException routerError = (ColtsfootwheelException) cause;
    ErrorKind kind = routerError.kind();
    if (kind == ErrorKind.BODY_TOO_LARGE) {
      // The rest of the body is not read, so the connection cannot be reused.
      response.keepAlive(false);
    }
    return new CallerResponse.Error(kind, kind.outcome(), routerError.fault(), 0);
  }

  Mono<Void> writeJson(HttpServerResponse response, int status, byte[] body) {
    addStamp(response.responseHeaders());
    response.status(status);
    closeConnectionIfRequested(response);
    response
        .responseHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return response.send(Mono.just(Unpooled.wrappedBuffer(body))).then();
  }

  Mono<Void> writeError(HttpServerResponse response, CallerResponse.Error error) {
    HttpHeaders headers = response.responseHeaders();
    headers.set(HeaderNames.OUTCOME, error.outcome().text());
    if (error.retryAfterMillis() > 0) {
      long seconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.set(HeaderNames.RETRY_AFTER, seconds);
    }
    byte[] body = EdgeJson.error(error.kind(), error.outcome(), error.detail());
    return writeJson(response, error.kind().httpStatus(), body);
  }

  private void closeConnectionIfRequested(HttpServerResponse response) {
    if (closingConnections) {
      response.keepAlive(false);
    }
  }

  private Mono<Void> writeRelayed(
      HttpServerRequest request,
      HttpServerResponse response,
      CallerResponse.Relayed relayed,
      CallerExchange exchange) {
    response.status(relayed.status());
    closeConnectionIfRequested(response);
    HttpHeaders headers = response.responseHeaders();
    for (Header header : relayed.headers()) {
      headers.add(header.name(), header.value());
    }
    headers.set(HeaderNames.TARGET, relayed.target().value());
    addStamp(headers);
    Channel[] channel = new Channel[1];
    request.withConnection(connection -> channel[0] = connection.channel());
    exchange.bodyStarted();
    Flux<ByteBuf> body =
        relayed
            .body()
            .doOnComplete(exchange::bodyEnded)
            .onErrorResume(error -> abort(channel[0], exchange));
    if (request.method().equals(HttpMethod.HEAD) || isBodiless(relayed.status())) {
      return body.doOnNext(ReferenceCountUtil::safeRelease).then(response.send());
    }
    return response.send(isSmall(headers) ? aggregate(body) : body).then();
  }

  /**
   * Resets the connection, because a truncated response that is delimited by the end of its
   * connection would otherwise look complete.
   */
  private static Mono<ByteBuf> abort(Channel channel, CallerExchange exchange) {
    exchange.bodyEnded();
    exchange.finish();
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
    return Mono.never();
  }

  private static Mono<ByteBuf> aggregate(Flux<ByteBuf> body) {
    return body.reduce(ResponseWriter::append)
        .doOnDiscard(ByteBuf.class, ReferenceCountUtil::safeRelease);
  }

  private static ByteBuf append(ByteBuf first, ByteBuf next) {
    if (first instanceof CompositeByteBuf) {
      return ((CompositeByteBuf) first).addComponent(true, next);
    }
    return first.alloc().compositeBuffer().addComponent(true, first).addComponent(true, next);
  }

  private static boolean isSmall(HttpHeaders headers) {
    int length = headers.getInt(HttpHeaderNames.CONTENT_LENGTH, Integer.MAX_VALUE);
    return length <= SMALL_BODY_BYTES;
  }

  private static boolean isBodiless(int status) {
    return status == NO_CONTENT || status == NOT_MODIFIED;
  }

  private void addStamp(HttpHeaders headers) {
    String value = stampSupplier.get();
    if (!value.isEmpty()) {
      headers.set(HeaderNames.STAMP, value);
    }
  }
}
