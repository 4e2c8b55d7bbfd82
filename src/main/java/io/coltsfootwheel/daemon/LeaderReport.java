package io.coltsfootwheel.daemon;

import io.coltsfootwheel.consensus.MemberProgress;
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
 * @param members members of the control group
 */
record LeaderReport(
    InstanceId leader,
    long term,
    long commitIndex,
    List<Renewal> renewals,
    List<MemberProgress> members) {
  /** Copies the lists. */
  LeaderReport {
    renewals = List.copyOf(renewals);
    members = List.copyOf(members);
  }
}
