package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * Settings of a control process.
 *
 * @param cluster cluster name, the same in all processes
 * @param linkAddress address for links of other processes; its host is the name of the process
 * @param seeds control processes to contact first, named by their IP addresses
 * @param firstStart true when the cluster is bootstrapped, with empty disks on all processes
 * @param toleratedLosses number of members that may fail at the same time
 * @param catchUpMillis time after its start at which the successor of a lost member must have taken
 *     its place, in milliseconds
 * @param ownership durations of leases on key ranges
 * @param dataFolder folder of the replicated log
 * @param zones availability zones of the deployment, empty when the settings name none
 * @param maxLinkConnections connections of other processes that may be open at once
 */
public record ControlNodeSettings(
    String cluster,
    Address linkAddress,
    List<InstanceId> seeds,
    boolean firstStart,
    int toleratedLosses,
    long catchUpMillis,
    OwnershipSettings ownership,
    Path dataFolder,
    Set<AvailabilityZone> zones,
    int maxLinkConnections) {
  /**
   * Each leader measures anew, so the loss of a leader makes a group wait for the time-out again.
   */
  private static final int VOTER_TIMEOUTS_PER_CATCH_UP = 4;

  ControlSettings controlSettings(List<InstanceId> currentSeeds) {
    return new ControlSettings(
        InstanceId.of(linkAddress.host()),
        currentSeeds,
        firstStart,
        2 * toleratedLosses + 1,
        catchUpMillis / VOTER_TIMEOUTS_PER_CATCH_UP,
        ownership,
        zones);
  }
}
