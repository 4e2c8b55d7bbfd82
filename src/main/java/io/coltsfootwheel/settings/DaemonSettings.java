package io.coltsfootwheel.settings;

import io.coltsfootwheel.model.Address;
import io.coltsfootwheel.model.AvailabilityZone;
import io.coltsfootwheel.model.InstanceId;
import io.coltsfootwheel.model.ServiceName;
import io.coltsfootwheel.model.ServiceSpec;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one daemon, read from a TOML file and checked as a whole.
 *
 * <p>Usage: {@code DaemonSettings settings = SettingsFile.read(Path.of("daemon.toml"));}
 *
 * @param clusterName name that all instances of the cluster share
 * @param instance name of this instance
 * @param zone availability zone of this instance
 * @param linkAddress address on which other instances connect
 * @param httpAddress address for callers and targets
 * @param operatorAddress address for operators
 * @param advertisedLinkAddress address that other instances use to connect
 * @param advertisedHttpAddress address that callers and targets use
 * @param dataFolder folder of the journal; present exactly on control members
 * @param controlMembers instances that may vote, with their link addresses
 * @param initialMembers members of the first configuration of the consensus group
 * @param sharedKeyFile file with the key that instances share
 * @param operatorTokenFile file with the operators' bearer token
 * @param services services that targets offer
 * @param limits limits on requests
 * @param logFormat format of log lines
 * @param objectives service-level objectives of each service that has any
 */
public record DaemonSettings(
    String clusterName,
    InstanceId instance,
    AvailabilityZone zone,
    Address linkAddress,
    Address httpAddress,
    Address operatorAddress,
    Address advertisedLinkAddress,
    Address advertisedHttpAddress,
    Optional<Path> dataFolder,
    List<ControlMember> controlMembers,
    List<InstanceId> initialMembers,
    Path sharedKeyFile,
    Path operatorTokenFile,
    List<ServiceSpec> services,
    RequestLimits limits,
    LogFormat logFormat,
    Map<ServiceName, Objective> objectives) {
  /** Copies the collections. */
  public DaemonSettings {
    controlMembers = List.copyOf(controlMembers);
    initialMembers = List.copyOf(initialMembers);
    services = List.copyOf(services);
    objectives = Map.copyOf(objectives);
  }

  /**
   * Tells whether this instance is a control member.
   *
   * @return true when it is listed among the control members
   */
  public boolean isControlMember() {
    return controlMembers.stream().anyMatch(member -> member.instance().equals(instance));
  }
}
