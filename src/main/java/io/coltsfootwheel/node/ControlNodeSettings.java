package io.coltsfootwheel.node;

import io.coltsfootwheel.keyspace.OwnershipSettings;
import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a control process.
 *
 * @param cluster name that all processes of the system share
 * @param linkAddress where other processes reach this one; its host is the name of the process
 * @param seeds control processes that are known from the start, by their IP numbers
 * @param firstStart true when the whole system starts for the first time, with empty disks
 * @param toleratedLosses members that may be lost at the same time
 * @param ownership times of leases on keys
 * @param dataFolder folder of the replicated log
 */
public record ControlNodeSettings(
    String cluster,
    Address linkAddress,
    List<InstanceId> seeds,
    boolean firstStart,
    int toleratedLosses,
    OwnershipSettings ownership,
    Path dataFolder) {
  ControlSettings decisions() {
    return new ControlSettings(
        InstanceId.of(linkAddress.host()), seeds, firstStart, 2 * toleratedLosses + 1, ownership);
  }
}
