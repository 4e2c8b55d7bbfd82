package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberId;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.Renewal;
import java.util.List;

/**
 * What the leader knows of the fleet, for operators.
 *
 * @param leader the leader
 * @param term its term
 * @param commitIndex index of the last command that it has applied
 * @param renewals last renewal of each instance that holds a lease
 * @param members voters and learners of the control group
 */
record LeaderReport(
    InstanceId leader,
    long term,
    long commitIndex,
    List<Renewal> renewals,
    List<ReportedMember> members) {
  /**
   * Member of the control group.
   *
   * @param id instance and disk identity
   * @param voter false for a learner
   * @param matchIndex log index that it is known to hold, 0 when unknown
   */
  record ReportedMember(MemberId id, boolean voter, long matchIndex) {}

  /** Copies the lists. */
  LeaderReport {
    renewals = List.copyOf(renewals);
    members = List.copyOf(members);
  }
}
