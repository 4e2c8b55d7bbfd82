package io.coltsfootwheel.edge;

import reactor.core.publisher.Mono;

/** Routes callers' requests; called on network threads, so it must not block. */
public interface RequestHandler {
  /**
   * Routes a request.
   *
   * @param request the request
   * @return the response; a {@link io.coltsfootwheel.model.ColtsfootwheelException} becomes an
   *     error response of its kind
   */
  Mono<CallerResponse> handle(CallerRequest request);

  /**
   * Reports, at most once for each request, that the caller disconnected before the response ended.
   *
   * @param request the request
   */
  void cancelled(CallerRequest request);
}
