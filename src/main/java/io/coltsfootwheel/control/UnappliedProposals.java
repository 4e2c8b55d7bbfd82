package io.coltsfootwheel.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Proposals whose commands are not applied to the state yet, and the effects of the event that the
 * {@link Supervisor} handles.
 *
 * <p>The key of a proposal consists of the kind of command and the facts on which it relies.
 * Changed facts give a new key, so their proposal is made at once; a proposal on unchanged facts is
 * repeated only after the timeout.
 */
final class UnappliedProposals {
  /** Time after which a proposal is taken for lost; a commit takes about 30 ms. */
  static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final Map<List<Object>, Long> pending = new HashMap<>();
  private final List<SupervisorEffect> effects = new ArrayList<>();
  private long nowNanos;

  void beginEvent(long eventNanos) {
    nowNanos = eventNanos;
    pending.values().removeIf(proposedNanos -> eventNanos - proposedNanos >= TIMEOUT_NANOS);
  }

  void clear() {
    pending.clear();
    effects.clear();
  }

  long nowNanos() {
    return nowNanos;
  }

  /**
   * Records that a proposal is made at the time of the event.
   *
   * @return false when the same proposal was made less than the timeout ago and is not to be
   *     repeated
   */
  boolean markProposed(List<Object> key) {
    return pending.putIfAbsent(key, nowNanos) == null;
  }

  void propose(List<Object> key, Command command) {
    if (markProposed(key)) {
      effects.add(new SupervisorEffect.ProposeCommand(command));
    }
  }

  void addEffect(SupervisorEffect effect) {
    effects.add(effect);
  }

  List<SupervisorEffect> takeEffects() {
    List<SupervisorEffect> taken = List.copyOf(effects);
    effects.clear();
    return taken;
  }
}
