package io.coltsfootwheel.relay;

import java.util.Optional;

/** Next step for a request that is not in progress at a target. */
sealed interface RoutingDecision {
  /** Sends the request to a target. */
  record Send(TargetStats target) implements RoutingDecision {}

  /**
   * Holds the request until ownership changes or the wait ends, then decides again.
   *
   * @param maxWaitMillis longest time to wait
   * @param reason why it cannot be sent now
   * @param coldTarget target for which it needs a permit, or empty if it waits for another reason
   */
  record Wait(long maxWaitMillis, String reason, Optional<TargetStats> coldTarget)
      implements RoutingDecision {
    /** Waits for a change of ownership. */
    Wait(long maxWaitMillis, String reason) {
      this(maxWaitMillis, reason, Optional.empty());
    }
  }

  /**
   * Refuses the request, which was not executed.
   *
   * @param reason why it cannot be served
   * @param retryAfterMillis delay after which the client should retry
   * @param target target whose load caused the refusal, or empty if it had another cause
   */
  record Refuse(String reason, long retryAfterMillis, Optional<TargetStats> target)
      implements RoutingDecision {
    /** Refuses for a reason other than the load of a target. */
    Refuse(String reason, long retryAfterMillis) {
      this(reason, retryAfterMillis, Optional.empty());
    }
  }
}
