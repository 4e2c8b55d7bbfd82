package io.coltsfootwheel.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Proposals whose effect is not seen in the state yet.
 *
 * <p>Each key names the fact that the proposal relies on, so a changed fact has a new key and an
 * unchanged one is proposed again only after the timeout.
 */
final class Proposals {
  /** A commit takes about 30 ms; after this time the proposal was probably lost. */
  static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Map<List<Object>, Long> pending = new HashMap<>();
  private final List<SupervisorEffect> effects = new ArrayList<>();
  private long nowNanos;

  void begin(long now) {
    nowNanos = now;
    pending.values().removeIf(proposed -> now - proposed >= TIMEOUT_NANOS);
  }

  void clear() {
    pending.clear();
    effects.clear();
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Marks a proposal as outstanding; returns false when it already is. */
  boolean claim(List<Object> key) {
    return pending.putIfAbsent(key, nowNanos) == null;
  }

  void propose(List<Object> key, Command command) {
    if (claim(key)) {
      effects.add(new SupervisorEffect.ProposeCommand(command));
    }
  }

  void add(SupervisorEffect effect) {
    effects.add(effect);
  }

  List<SupervisorEffect> take() {
    List<SupervisorEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
