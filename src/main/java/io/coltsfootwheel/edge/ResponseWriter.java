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
  /** Bodies up to this size are written together with the head, which saves a system call. */
  private static final int SMALL_BODY_BYTES = 16 * 1024;

  private static final Logger LOGGER = LogManager.getLogger(CallerServer.class);
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long MILLIS_PER_SECOND = 1000;

  private final Supplier<String> stamp;
  private volatile boolean endingConnections;

  ResponseWriter(Supplier<String> stamp) {
    this.stamp = stamp;
  }

  /** Makes each response the last one of its connection, so that callers move elsewhere. */
  void endConnections(boolean end) {
    endingConnections = end;
  }

  Mono<Void> write(
      HttpServerRequest request,
      HttpServerResponse response,
      CallerResponse result,
      Exchange exchange) {
    return result instanceof CallerResponse.Relayed
        ? relay(request, response, (CallerResponse.Relayed) result, exchange)
        : error(response, (CallerResponse.Error) result);
  }

  Mono<Void> failure(HttpServerResponse response, Throwable cause) {
    return error(response, asError(response, cause));
  }

  /** Converts an exception to an error response. */
  static CallerResponse.Error asError(HttpServerResponse response, Throwable cause) {
    if (!(cause instanceof ColtsfootwheelException)) {
      // A caller that disconnects while its request is read is counted as lost, not logged.
      if (!(cause instanceof AbortedException)) {
        LOGGER.error("request failed after an unexpected error", cause);
      }
      ErrorKind kind = ErrorKind.INVARIANT_VIOLATED;
      return new CallerResponse.Error(kind, kind.outcome(), "unexpected error", 0);
    }
    ColtsfootwheelException known = (ColtsfootwheelException) cause;
    ErrorKind kind = known.kind();
    if (kind == ErrorKind.BODY_TOO_LARGE) {
      // The rest of the body is not read, so the connection cannot carry another request.
      response.keepAlive(false);
    }
    return new CallerResponse.Error(kind, kind.outcome(), known.fault(), 0);
  }

  Mono<Void> json(HttpServerResponse response, int status, byte[] body) {
    stamp(response.responseHeaders());
    response.status(status);
    endConnection(response);
    response
        .responseHeaders()
        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    return response.send(Mono.just(Unpooled.wrappedBuffer(body))).then();
  }

  Mono<Void> error(HttpServerResponse response, CallerResponse.Error error) {
    HttpHeaders headers = response.responseHeaders();
    headers.set(HeaderNames.OUTCOME, error.outcome().text());
    if (error.retryAfterMillis() > 0) {
      long seconds = (error.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      headers.set(HeaderNames.RETRY_AFTER, seconds);
    }
    byte[] body = EdgeJson.error(error.kind(), error.outcome(), error.detail());
    return json(response, error.kind().httpStatus(), body);
  }

  private void endConnection(HttpServerResponse response) {
    if (endingConnections) {
      response.keepAlive(false);
    }
  }

  private Mono<Void> relay(
      HttpServerRequest request,
      HttpServerResponse response,
      CallerResponse.Relayed relayed,
      Exchange exchange) {
    response.status(relayed.status());
    endConnection(response);
    HttpHeaders headers = response.responseHeaders();
    for (Header header : relayed.headers()) {
      headers.add(header.name(), header.value());
    }
    headers.set(HeaderNames.TARGET, relayed.target().value());
    stamp(headers);
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
    return response.send(isSmall(headers) ? joined(body) : body).then();
  }

  /**
   * Ends the connection with a reset, because the end of a response that is delimited by the end of
   * its connection would otherwise look complete.
   */
  private static Mono<ByteBuf> abort(Channel channel, Exchange exchange) {
    exchange.bodyEnded();
    exchange.finished();
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
    return Mono.never();
  }

  private static Mono<ByteBuf> joined(Flux<ByteBuf> body) {
    return body.reduce(ResponseWriter::join)
        .doOnDiscard(ByteBuf.class, ReferenceCountUtil::safeRelease);
  }

  private static ByteBuf join(ByteBuf first, ByteBuf next) {
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

  private void stamp(HttpHeaders headers) {
    String value = stamp.get();
    if (!value.isEmpty()) {
      headers.set(HeaderNames.STAMP, value);
    }
  }
}
