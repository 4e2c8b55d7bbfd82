package io.coltsfootwheel.model;

import java.util.List;

/**
 * Request of an instance to extend its lease, sent to the control leader every 100 ms.
 *
 * @param instance the instance
 * @param session session of its process
 * @param sentNanos monotonic time of the sender, echoed in the acknowledgement
 * @param appliedIndex log index that the instance has applied
 * @param leaving true when the instance shuts down and gives its dispatch grants back
 * @param reports one report for each target that it dispatches to
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
