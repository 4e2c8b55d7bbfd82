package io.coltsfootwheel.dispatch;

import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.TargetReport;
import java.util.List;

/** Dispatches requests to the targets whose dispatch grant this instance holds. */
public final class DispatchReducer {
  /**
   * Creates a reducer without view and lease.
   *
   * @param instance this instance
   * @param session session of its process
   * @param settings limits
   */
  public DispatchReducer(InstanceId instance, String session, DispatchSettings settings) {}

  /**
   * Applies an event.
   *
   * @param event the event
   * @return what the driver has to do, in order
   */
  public List<DispatchEffect> apply(DispatchEvent event) {
    return List.of();
  }

  /**
   * Returns the reports for the next renewal.
   *
   * @param nowNanos time of the call
   * @return one report per target that is dispatched to
   */
  public List<TargetReport> reports(long nowNanos) {
    return List.of();
  }
}
