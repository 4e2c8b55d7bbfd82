package io.coltsfootwheel.edge;

import io.coltsfootwheel.model.TargetId;
import io.coltsfootwheel.model.TargetSpec;
import reactor.core.publisher.Mono;

/** Handles the announcements of targets; errors are signalled as ColtsfootwheelException. */
public interface TargetAnnouncements {
  /**
   * Registers a target or confirms that it is alive.
   *
   * @param spec the announced properties of the target
   * @return completes when the announcement is accepted
   */
  Mono<Void> announce(TargetSpec spec);

  /**
   * Starts to drain a target.
   *
   * @param target the target
   * @return completes when the change is accepted
   */
  Mono<Void> drain(TargetId target);

  /**
   * Removes a drained target.
   *
   * @param target the target
   * @return completes when the change is accepted
   */
  Mono<Void> remove(TargetId target);
}
