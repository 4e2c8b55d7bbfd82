package io.coltsfootwheel.edge;

import com.fasterxml.jackson.databind.JsonNode;
import io.coltsfootwheel.model.InstanceId;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.io.IOException;
import java.time.Duration;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends grants, health checks and cancellations to one target. */
final class TargetControl {
  private static final int MAX_REPLY_BYTES = 16 * 1024;
  private static final int STATUS_OK = 200;
  private static final int SUCCESS_STATUS_CLASS = 2;
  private static final int STATUS_CLASS_SIZE = 100;
  private static final int STATUS_CONFLICT = 409;

  private final HttpClient client;
  private final Duration timeout;

  TargetControl(HttpClient client, long timeoutMillis) {
    this.timeout = Duration.ofMillis(timeoutMillis);
    this.client =
        client.headers(
            headers ->
                headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON));
  }

  Mono<GrantResult> grant(InstanceId instance, long fence, long validUntilMillis) {
    return post("/coltsfootwheel/grant", new GrantBody(instance, fence, validUntilMillis))
        .map(TargetControl::toGrantResult)
        .onErrorResume(error -> Mono.just(new GrantResult.Failed(error.toString())));
  }

  Mono<Boolean> probe() {
    return client
        .get()
        .uri("/health")
        .responseSingle((head, body) -> body.then(Mono.just(head.status().code())))
        .timeout(timeout)
        .map(TargetControl::isSuccess)
        .onErrorReturn(false);
  }

  Mono<Boolean> cancel(String requestId) {
    return post("/coltsfootwheel/cancel", new CancelBody(requestId))
        .map(reply -> isSuccess(reply.status))
        .onErrorReturn(false);
  }

  private Mono<Reply> post(String path, Object body) {
    return Mono.defer(
        () -> {
          byte[] json = EdgeJson.write(body);
          return client
              .post()
              .uri(path)
              .send(
                  (head, out) ->
                      out.send(
                          Mono.fromSupplier(
                              () -> {
                                head.requestHeaders()
                                    .set(HttpHeaderNames.CONTENT_LENGTH, json.length);
                                return Unpooled.wrappedBuffer(json);
                              })))
              .response(
                  (head, content) ->
                      BodyReader.read(content, MAX_REPLY_BYTES)
                          .map(bytes -> new Reply(head.status().code(), bytes)))
              .next()
              .timeout(timeout);
        });
  }

  private static GrantResult toGrantResult(Reply reply) {
    if (reply.status == STATUS_CONFLICT) {
      return new GrantResult.Outdated();
    }
    if (reply.status != STATUS_OK) {
      return new GrantResult.Failed("status " + reply.status);
    }
    try {
      JsonNode node = EdgeJson.MAPPER.readTree(reply.body);
      // Missing counts would be read as 0: requests that still run under older fences would be
      // treated as ended, and their slots would be released.
      if (!node.path("fence").canConvertToLong()
          || !node.path("running").canConvertToInt()
          || !node.path("runningOlder").canConvertToInt()
          || !node.path("clockMillis").canConvertToLong()) {
        return new GrantResult.Failed(
            "answer does not contain fence, running, runningOlder or clockMillis");
      }
      return new GrantResult.Granted(
          node.path("fence").longValue(),
          node.path("running").intValue(),
          node.path("runningOlder").intValue(),
          node.path("clockMillis").longValue());
    } catch (IOException e) {
      return new GrantResult.Failed("answer is not valid JSON");
    }
  }

  private static boolean isSuccess(int status) {
    return status / STATUS_CLASS_SIZE == SUCCESS_STATUS_CLASS;
  }

  private record GrantBody(InstanceId instance, long fence, long validUntilMillis) {}

  private record CancelBody(String requestId) {}

  private record Reply(int status, byte[] body) {}
}
