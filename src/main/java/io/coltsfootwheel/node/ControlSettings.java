package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;

/**
 * Settings of a control process.
 *
 * @param self name of this process: its IP number
 * @param seeds control processes that are known from the start
 * @param firstStart true when the whole system starts for the first time
 * @param wantedVoters size of the control group
 * @param ownership times of leases on keys
 */
record ControlSettings(
    InstanceId self,
    List<InstanceId> seeds,
    boolean firstStart,
    int wantedVoters,
    OwnershipSettings ownership) {
  ControlSettings {
    seeds = seeds.stream().sorted().toList();
  }

  /** Returns the members of the first group: none unless the whole system starts anew. */
  List<InstanceId> initialMembers() {
    return firstStart && seeds.contains(self) ? seeds : List.of();
  }
}
