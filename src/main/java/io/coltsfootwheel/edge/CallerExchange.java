package io.coltsfootwheel.edge;

import java.util.concurrent.atomic.AtomicReference;

/**
 * State of a request in progress; ends exactly once, as finished or by a disconnect of the caller.
 */
final class CallerExchange {
  private final RequestHandler handler;
  private final AtomicReference<State> state = new AtomicReference<>(State.READING);

  private volatile CallerRequest request;
  private volatile boolean bodyPending;

  CallerExchange(RequestHandler handler) {
    this.handler = handler;
  }

  /** Marks the request as passed to the handler; false if the caller has already disconnected. */
  boolean startHandling(CallerRequest completeRequest) {
    request = completeRequest;
    return state.compareAndSet(State.READING, State.HANDLING);
  }

  void bodyStarted() {
    bodyPending = true;
  }

  void bodyEnded() {
    bodyPending = false;
  }

  /**
   * Ends the request. Reactor Netty completes the write of a body normally when the connection
   * closes, so an incomplete body means that the caller disconnected.
   */
  void finish() {
    if (bodyPending) {
      callerDisconnected();
    } else {
      state.set(State.ENDED);
    }
  }

  void callerDisconnected() {
    if (state.getAndSet(State.ENDED) == State.HANDLING) {
      handler.cancelled(request);
    }
  }

  private enum State {
    READING,
    HANDLING,
    ENDED
  }
}
