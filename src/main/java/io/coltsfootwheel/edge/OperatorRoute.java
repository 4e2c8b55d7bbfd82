package io.coltsfootwheel.edge;

import java.util.function.Function;
import reactor.core.publisher.Mono;

/**
 * One row of the operator interface.
 *
 * <p>Usage: {@code OperatorRoute.of("POST", "/v1/targets/{id}/gone", request -> ...)}.
 *
 * @param method HTTP method
 * @param path path with parameters in braces
 * @param open true when no token is needed
 * @param handler makes the response; a ColtsfootwheelException becomes an error response
 */
public record OperatorRoute(
    String method,
    String path,
    boolean open,
    Function<OperatorRequest, Mono<OperatorResponse>> handler) {
  /**
   * Returns a route that needs the token.
   *
   * @param method HTTP method
   * @param path path with parameters in braces
   * @param handler makes the response
   * @return the route
   */
  public static OperatorRoute of(
      String method, String path, Function<OperatorRequest, Mono<OperatorResponse>> handler) {
    return new OperatorRoute(method, path, false, handler);
  }

  /**
   * Returns a GET route that needs no token.
   *
   * @param path path
   * @param handler makes the response
   * @return the route
   */
  public static OperatorRoute open(
      String path, Function<OperatorRequest, Mono<OperatorResponse>> handler) {
    return new OperatorRoute("GET", path, true, handler);
  }
}
