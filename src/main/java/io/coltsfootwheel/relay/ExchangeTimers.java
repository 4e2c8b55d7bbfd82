package io.coltsfootwheel.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * Timers of one exchange. A timer that is not cancelled keeps its exchange, with the head of the
 * request, in memory until it ends.
 */
final class ExchangeTimers {
  private final List<Future<?>> timers = new ArrayList<>(2);

  void add(Future<?> timer) {
    timers.add(timer);
  }

  void cancelAll() {
    timers.forEach(timer -> timer.cancel(false));
    timers.clear();
  }
}
