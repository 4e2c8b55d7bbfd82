package io.coltsfootwheel.model;

import java.util.List;

/**
 * Request of an instance to extend its lease, sent to the control leader every 100 ms.
 *
 * @param instance the instance
 * @param session session of the instance's process
 * @param sentNanos send time on the instance's monotonic clock, returned in the acknowledgement
 * @param appliedIndex log index that the instance has applied
 * @param leaving true when the instance shuts down and returns its dispatch grants
 * @param reports one report for each target that the instance dispatches to
 */
public record Renewal(
    InstanceId instance,
    String session,
    long sentNanos,
    long appliedIndex,
    boolean leaving,
    List<TargetReport> reports) {
  /** Copies the reports. */
  public Renewal {
    reports = List.copyOf(reports);
  }
}
