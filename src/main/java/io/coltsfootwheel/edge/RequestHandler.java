package io.coltsfootwheel.edge;

import reactor.core.publisher.Mono;

/** Routes the requests of callers; called on network threads, so it must not block. */
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
   * Called at most once per request, when the caller disconnected before the response was complete.
   *
   * @param request the request
   */
  void cancelled(CallerRequest request);
}
