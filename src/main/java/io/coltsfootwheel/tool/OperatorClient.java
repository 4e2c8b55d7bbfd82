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

/**
 * Client of the operators' HTTP interface, which tries the servers in order until one responds.
 *
 * <p>A request other than GET is sent to the next server only if the connection was refused, as it
 * may have taken effect otherwise.
 */
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
    // By default the client resends a request when its connection breaks.
    this.http =
        HttpClient.newConnection()
            .disableRetry(true)
            .headers(
                headers ->
                    headers
                        .set(HttpHeaderNames.AUTHORIZATION, "Bearer " + token)
                        .set(HttpHeaderNames.CONTENT_TYPE, "application/json"));
  }

  /** Gets a value from the first server that responds. */
  <T> T get(String path, Class<T> type) {
    Response response = send(HttpMethod.GET, path, "");
    requireSuccess(response);
    return ToolJson.read(response.body(), type, "the response to GET " + path);
  }

  /** Posts a body and returns the response, even if its status is an error. */
  Response post(String path, String body) {
    return send(HttpMethod.POST, path, body);
  }

  /**
   * Checks that the status of a response is a success.
   *
   * @throws ToolException with the exit code of the error if it is not
   */
  static void requireSuccess(Response response) {
    if (response.status() > MAX_SUCCESS_STATUS) {
      ErrorReply error = parseError(response);
      throw ToolException.of(
          ExitCode.ofError(error.code()),
          error.detail() + " (" + error.code() + "; remedy: " + error.remedy() + ")");
    }
  }

  private static ErrorReply parseError(Response response) {
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
        failures.append(System.lineSeparator()).append(server).append(": ").append(describe(cause));
        if (!(cause instanceof ConnectException) && !method.equals(HttpMethod.GET)) {
          throw ToolException.of(
              ExitCode.OUTCOME_UNKNOWN,
              "the outcome is unknown; run the same command again:" + failures);
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
            (responseHead, responseBody) ->
                responseBody
                    .asString()
                    .defaultIfEmpty("")
                    .map(text -> new Response(responseHead.status().code(), text)))
        .timeout(timeout)
        .block();
  }

  private static String describe(Throwable cause) {
    return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
  }
}
