package io.coltsfootwheel.tool;

import io.coltsfootwheel.model.Address;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/** Client of the operators' HTTP interface; tries the servers in order until one is reached. */
final class OperatorClient {
  /**
   * Response of a server.
   *
   * @param status HTTP status
   * @param body body as text
   */
  record Response(int status, String body) {}

  private static final int MAX_SUCCESS_STATUS = 299;

  private final List<Address> servers;
  private final Duration timeout;
  private final HttpClient http;

  OperatorClient(List<Address> servers, String token, Duration timeout) {
    this.servers = List.copyOf(servers);
    this.timeout = timeout;
    // Without this the client sends a request twice when a connection breaks.
    this.http =
        HttpClient.newConnection()
            .disableRetry(true)
            .headers(
                headers ->
                    headers
                        .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + token)
                        .set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
  }

  /** Reads a value; an instance that does not respond is passed over. */
  <T> T get(String path, Class<T> type) {
    Response response = send(HttpMethod.GET, path, "");
    requireSuccess(response);
    return ToolJson.read(response.body(), type, "the response to GET " + path);
  }

  /** Posts a body and returns any response, also one with an error status. */
  Response post(String path, String body) {
    return send(HttpMethod.POST, path, body);
  }

  /**
   * Returns normally for a success status.
   *
   * @throws ToolException with the exit code of the error otherwise
   */
  static void requireSuccess(Response response) {
    if (response.status() > MAX_SUCCESS_STATUS) {
      ErrorReply error = errorOf(response);
      throw ToolException.of(
          ExitCode.ofError(error.code()),
          error.detail() + " (" + error.code() + "; remedy: " + error.remedy() + ")");
    }
  }

  private static ErrorReply errorOf(Response response) {
    try {
      return ToolJson.read(response.body(), ErrorReply.class, "error");
    } catch (ToolException e) {
      return new ErrorReply(
          "http-" + response.status(), response.body(), "check --server and the daemon's log");
    }
  }

  private Response send(HttpMethod method, String path, String body) {
    StringBuilder failures = new StringBuilder();
    for (Address server : servers) {
      try {
        return sendTo(server, method, path, body);
      } catch (RuntimeException e) {
        Throwable cause = Exceptions.unwrap(e);
        failures.append(System.lineSeparator()).append(server).append(": ").append(reason(cause));
        if (!(cause instanceof ConnectException) && !method.equals(HttpMethod.GET)) {
          throw ToolException.of(
              ExitCode.OUTCOME_UNKNOWN,
              "the outcome is unknown, give the same command again:" + failures);
        }
      }
    }
    throw ToolException.of(
        ExitCode.UNREACHABLE, "no instance could be reached; check --server:" + failures);
  }

  private Response sendTo(Address server, HttpMethod method, String path, String body) {
    return http.request(method)
        .uri("http://" + server + path)
        .send(ByteBufFlux.fromString(Mono.just(body)))
        .responseSingle(
            (head, bytes) ->
                bytes
                    .asString()
                    .defaultIfEmpty("")
                    .map(text -> new Response(head.status().code(), text)))
        .timeout(timeout)
        .block();
  }

  private static String reason(Throwable cause) {
    return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
  }
}
