package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;
import java.util.Set;

/**
 * Settings of the decision logic of a control process.
 *
 * @param self name of this process: its IP address
 * @param seeds control processes to contact first
 * @param firstStart true when the cluster is bootstrapped
 * @param wantedVoters number of voters that the control group grows to
 * @param voterTimeoutMillis time without contact after which a voter is replaced by a learner, in
 *     milliseconds
 * @param ownership durations of leases on key ranges
 * @param zones availability zones of the deployment, empty when the settings name none
 */
record ControlSettings(
    InstanceId self,
    List<InstanceId> seeds,
    boolean firstStart,
    int wantedVoters,
    long voterTimeoutMillis,
    OwnershipSettings ownership,
    Set<AvailabilityZone> zones) {
  ControlSettings {
    seeds = seeds.stream().sorted().toList();
    zones = Set.copyOf(zones);
  }

  /** Returns the members of the initial group; empty unless the cluster is bootstrapped. */
  List<InstanceId> initialMembers() {
    return firstStart && seeds.contains(self) ? seeds : List.of();
  }
}
