package io.coltsfootwheel.edge;

import java.util.function.Function;
import reactor.core.publisher.Mono;

/**
 * Route of the operator interface.
 *
 * <p>Usage: {@code OperatorRoute.of("POST", "/v1/targets/{id}/gone", request -> ...)}.
 *
 * @param method HTTP method
 * @param path path with parameters in braces
 * @param unauthenticated true when no token is required
 * @param handler creates the response; a ColtsfootwheelException becomes an error response
 */
public record OperatorRoute(
    String method,
    String path,
    boolean unauthenticated,
    Function<OperatorRequest, Mono<OperatorResponse>> handler) {
  /**
   * Returns a route that requires the operator token.
   *
   * @param method HTTP method
   * @param path path with parameters in braces
   * @param handler creates the response
   * @return the route
   */
  public static OperatorRoute of(
      String method, String path, Function<OperatorRequest, Mono<OperatorResponse>> handler) {
    return new OperatorRoute(method, path, false, handler);
  }

  /**
   * Returns a GET route that requires no token.
   *
   * @param path path with parameters in braces
   * @param handler creates the response
   * @return the route
   */
  public static OperatorRoute unauthenticated(
      String path, Function<OperatorRequest, Mono<OperatorResponse>> handler) {
    return new OperatorRoute("GET", path, true, handler);
  }
}
