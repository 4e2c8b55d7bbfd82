package io.coltsfootwheel.deployment;

import java.util.List;

/**
 * All that a run did and saw.
 *
 * @param changes changes of the configuration
 * @param probes requests to entries
 * @param reads reads of the configuration
 * @param outages outages of machines, induced by the run
 * @param starts starts of processes
 * @param coreSize number of machines of the core
 */
record History(
    List<Change> changes,
    List<Probe> probes,
    List<ConfigurationRead> reads,
    List<Outage> outages,
    List<ProcessStart> starts,
    int coreSize) {}
