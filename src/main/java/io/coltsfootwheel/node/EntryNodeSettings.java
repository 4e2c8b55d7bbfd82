package io.coltsfootwheel.node;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.InstanceId;
import java.util.List;

/**
 * Settings of an entry process.
 *
 * @param cluster name that all processes of the system share
 * @param linkAddress where other processes reach this one; its host is the name of the process
 * @param memberPort port on which control processes listen for links
 * @param seeds control processes that are known from the start, by their IP numbers
 */
public record EntryNodeSettings(
    String cluster, Address linkAddress, int memberPort, List<InstanceId> seeds) {
  /** Copies the seeds. */
  public EntryNodeSettings {
    seeds = List.copyOf(seeds);
  }
}
