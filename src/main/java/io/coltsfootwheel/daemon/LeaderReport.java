package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberProgress;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Renewal;
import java.util.List;

/**
 * Report of the control leader on the fleet, for operators.
 *
 * @param leader the instance that leads
 * @param term consensus term of the leader
 * @param commitIndex index of the last command that the leader has applied
 * @param renewals last allowed renewal of each registered session
 * @param members members of the control group with their replication progress
 */
record LeaderReport(
    InstanceId leader,
    long term,
    long commitIndex,
    List<Renewal> renewals,
    List<MemberProgress> members) {
  /** Makes defensive copies of the lists. */
  LeaderReport {
    renewals = List.copyOf(renewals);
    members = List.copyOf(members);
  }
}
