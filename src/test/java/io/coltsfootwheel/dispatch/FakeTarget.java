package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.Fence;
import io.coltsfootwheel.model.TargetSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulated target that executes the requests that its fence check allows.
 *
 * <p>A paused target reads the messages that arrived during the pause, including grants, when the
 * pause ends.
 */
final class FakeTarget {
  final TargetSpec spec;
  final List<Runnable> unreadMessages = new ArrayList<>();
  final Map<String, Long> fenceByRunningRequest = new HashMap<>();
  long pausedUntilMillis;
  long highestFence;
  long grantedUntilMillis;
  int incarnation = 1;

  FakeTarget(TargetSpec spec) {
    this.spec = spec;
  }

  boolean isPaused(long nowMillis) {
    return nowMillis < pausedUntilMillis;
  }

  boolean accepts(long nowMillis, Fence fence) {
    return !spec.checksFences()
        || (fence.value() == highestFence && nowMillis < grantedUntilMillis);
  }

  /** Accepts a grant, or returns false when it has received one with a newer fence. */
  boolean acceptGrant(Fence fence, long validUntilMillis) {
    if (fence.value() < highestFence) {
      return false;
    }
    highestFence = fence.value();
    grantedUntilMillis = validUntilMillis;
    return true;
  }

  int runningOlder() {
    return (int)
        fenceByRunningRequest.values().stream().filter(fence -> fence < highestFence).count();
  }

  void restart() {
    incarnation++;
    unreadMessages.clear();
    fenceByRunningRequest.clear();
    pausedUntilMillis = 0;
    highestFence = 0;
    grantedUntilMillis = 0;
  }
}
