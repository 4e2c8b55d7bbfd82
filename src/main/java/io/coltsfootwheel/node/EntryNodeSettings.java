package io.coltsfootwheel.node;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;

/**
 * Settings of an entry process.
 *
 * @param cluster cluster name, the same in all processes
 * @param linkAddress address for links of other processes; its host is the name of the process
 * @param memberPort port on which control processes listen for links
 * @param seeds control processes to contact first, named by their IP addresses
 * @param maxLinkConnections connections of other processes that may be open at once
 */
public record EntryNodeSettings(
    String cluster,
    Address linkAddress,
    int memberPort,
    List<InstanceId> seeds,
    int maxLinkConnections) {
  /** Copies the seeds. */
  public EntryNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
