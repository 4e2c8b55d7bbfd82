package io.coltsfootwheel.edge;

import java.util.concurrent.atomic.AtomicReference;

/** One request in progress; its end is decided once, as finished or as left by the caller. */
final class Exchange {
  private final RequestHandler handler;
  private final AtomicReference<State> state = new AtomicReference<>(State.READING);

  private volatile CallerRequest request;
  private volatile boolean bodyPending;

  Exchange(RequestHandler handler) {
    this.handler = handler;
  }

  /** Marks the request as handed to the handler; false when the caller has left before. */
  boolean begin(CallerRequest complete) {
    request = complete;
    return state.compareAndSet(State.READING, State.HANDLED);
  }

  void bodyStarted() {
    bodyPending = true;
  }

  void bodyEnded() {
    bodyPending = false;
  }

  /**
   * Ends the request. Reactor Netty completes the write of a body normally when the connection
   * closes, so a body that has not ended means that the caller has left.
   */
  void finished() {
    if (bodyPending) {
      callerLeft();
    } else {
      state.set(State.ENDED);
    }
  }

  void callerLeft() {
    if (state.getAndSet(State.ENDED) == State.HANDLED) {
      handler.cancelled(request);
    }
  }

  private enum State {
    READING,
    HANDLED,
    ENDED
  }
}
