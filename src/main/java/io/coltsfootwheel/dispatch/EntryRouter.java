package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;

/** Routes callers' requests of one entry to the dispatchers of their targets. */
public final class EntryRouter {
  /**
   * Creates a router without view.
   *
   * @param instance this instance
   * @param session session of its process
   * @param zone availability zone of this instance
   * @param settings limits
   * @param seed seed of the random choices between targets
   */
  public EntryRouter(
      InstanceId instance,
      String session,
      AvailabilityZone zone,
      EntrySettings settings,
      long seed) {}

  /**
   * Applies an event.
   *
   * @param event the event
   * @return what the driver has to do, in order
   */
  public List<EntryEffect> apply(EntryEvent event) {
    return List.of();
  }
}
